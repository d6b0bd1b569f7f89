package router

// Observers tells several observers in turn.
type Observers []Observer

// RequestArrived implements Observer.
func (o Observers) RequestArrived(j *Job) {
	for _, v := range o {
		v.RequestArrived(j)
	}
}

// PromptRead implements Observer.
func (o Observers) PromptRead(j *Job, kept float64) {
	for _, v := range o {
		v.PromptRead(j, kept)
	}
}

// AnswerWritten implements Observer.
func (o Observers) AnswerWritten(j *Job, tokens int, whole bool) {
	for _, v := range o {
		v.AnswerWritten(j, tokens, whole)
	}
}

// RequestDone implements Observer.
func (o Observers) RequestDone(j *Job) {
	for _, v := range o {
		v.RequestDone(j)
	}
}
