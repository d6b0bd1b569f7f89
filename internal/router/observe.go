package router

// Observers tells several observers in turn.
type Observers []Observer

// RequestArrived implements Observer.
func (o Observers) RequestArrived(j *Job) {
	for _, v := range o {
		v.RequestArrived(j)
	}
}

// Read implements Observer.
func (o Observers) Read(j *Job, kept float64) {
	for _, v := range o {
		v.Read(j, kept)
	}
}

// Written implements Observer.
func (o Observers) Written(j *Job, tokens int, whole bool) {
	for _, v := range o {
		v.Written(j, tokens, whole)
	}
}

// Over implements Observer.
func (o Observers) Over(j *Job) {
	for _, v := range o {
		v.Over(j)
	}
}
