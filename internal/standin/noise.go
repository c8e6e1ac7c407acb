package standin

// Noise returns the slowdown that the running tasks cause for the runners on the worker.
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
