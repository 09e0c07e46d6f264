package residency

// minSpeed bounds the speed of an engine from below: a pause must not make it worth nothing.
const minSpeed = 0.2

// speed returns the engine's speed as a ratio of the usual one.
func (e *Engine) speed() float64 {
	if e.Speed == 0 {
		return 1
	}
	return max(e.Speed, minSpeed)
}

// addExtra adds to how many more replicas of usual speed the replicas of a model are worth.
func (p *planner) addExtra(model string, extra float64) {
	if extra == 0 {
		return
	}
	if p.extra == nil {
		p.extra = map[string]float64{}
	}
	p.extra[model] += extra
}

// slotsOf returns how many slots of usual speed the replicas of the model are worth.
func (p *planner) slotsOf(m *Model) float64 {
	return float64(p.in.Slots) * (float64(p.replicas[m.Name]) + p.extra[m.Name])
}

// loadCost returns the cost, in slots, of serving the model's demand for one replica beside the
// other demand that the engine is expected to serve. It is that other demand on an engine of
// usual speed; a fast engine costs the less and a slow one the more, the higher the demand.
func (p *planner) loadCost(e *Engine, m *Model) float64 {
	load := p.expectedLoad(e)
	speed := e.speed()
	if speed == 1 {
		return load
	}
	own := max(m.Forecast, m.Demand) / float64(p.replicas[m.Name]+1)
	return (load+own)/speed - own
}
