package router

// Observers is an Observer that notifies several observers in turn.
type Observers []Observer

// RequestArrived implements Observer.
func (o Observers) RequestArrived(j *Job) {
	for _, v := range o {
		v.RequestArrived(j)
	}
}

// PromptRead implements Observer.
func (o Observers) PromptRead(j *Job, cached float64) {
	for _, v := range o {
		v.PromptRead(j, cached)
	}
}

// AnswerWritten implements Observer.
func (o Observers) AnswerWritten(j *Job, tokens int, complete bool) {
	for _, v := range o {
		v.AnswerWritten(j, tokens, complete)
	}
}

// RequestDone implements Observer.
func (o Observers) RequestDone(j *Job) {
	for _, v := range o {
		v.RequestDone(j)
	}
}
