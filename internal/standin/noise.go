package standin

// Noise returns by how much the running tasks prolong the requests on the worker's
// runners, as a multiple of their undisturbed duration.
func (w *Worker) Noise() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	noise := 0.0
	now := w.now()
	for _, t := range w.tasks {
		if !t.report.State.Final() && now.Before(t.expires) {
			noise += t.work.Noise * t.report.Ratio
		}
	}
	return noise
}
