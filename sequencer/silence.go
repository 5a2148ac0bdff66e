package sequencer

import "goldcreststack.example/goldcreststack/modeler"

// Silences returns the workers that give no answer; the caller must not change the map.
func (s *Sequencer) Silences() map[modeler.WorkerID]modeler.WorkerSilence { return s.silences }

// RecordSilences records workers that give no answer. A record replaces one of an earlier
// term.
func (s *Sequencer) RecordSilences(silences []modeler.WorkerSilence) {
	for _, record := range silences {
		m, known := s.workers[record.Worker]
		held, isHeld := s.silences[record.Worker]
		if !known || m.Generation != record.Generation || isHeld && held.Term >= record.Term {
			continue
		}
		s.silences[record.Worker] = record
		s.recordChange(Change{Kind: WorkerSilent, Worker: record.Worker})
	}
}

// RecordReturns records that workers answer again. The change tells the leader also if the
// record of the silence was lost.
func (s *Sequencer) RecordReturns(ids []modeler.WorkerID) {
	for _, id := range ids {
		delete(s.silences, id)
		s.recordChange(Change{Kind: WorkerReturned, Worker: id})
	}
}
