package platform

// StreamStats counts the requests to one stream.
type StreamStats struct {
	// Appends counts appended records.
	Appends int64 `json:"appends"`
	// RefusedAppends counts appends refused because of their rate or size.
	RefusedAppends int64 `json:"refused_appends"`
	// Reads counts reads with a successful response.
	Reads int64 `json:"reads"`
	// ReadRecords counts the records in those responses.
	ReadRecords int64 `json:"read_records"`
	// Waiting is the number of reads that are waiting for a record.
	Waiting int `json:"waiting"`
	// First is the offset of the oldest record, Next that of the next append.
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// Stats holds the counters of all streams by stream name.
type Stats struct {
	Streams map[string]StreamStats `json:"streams"`
}

// Stats returns a copy of the counters.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{Streams: make(map[string]StreamStats, len(p.streams))}
	for name := range p.streams {
		s := p.stream(name)
		entry := s.stats
		entry.First = s.bounds().First
		entry.Next = s.bounds().Next
		stats.Streams[name] = entry
	}
	return stats
}

func (p *Platform) countRead(name string, records int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	s.stats.Reads++
	s.stats.ReadRecords += int64(records)
}

func (p *Platform) addWaiting(name string, delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stream(name).stats.Waiting += delta
}
