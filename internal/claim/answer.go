package claim

import (
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// AnswerState says what a node knows about a call that it claimed.
type AnswerState int

// The states of a claimed call.
const (
	// AnswerUnknown means that the node keeps no answer for the key.
	AnswerUnknown AnswerState = iota
	// AnswerRunning means that the call is still running.
	AnswerRunning
	// AnswerKept means that the answer is there.
	AnswerKept
)

// Answer is what a backend server answered to a claimed call. Only a kept answer
// has a status, headers and a body.
type Answer struct {
	State  AnswerState
	Status int
	Header http.Header
	Body   []byte
}

// size estimates the memory that the answer takes.
func (a Answer) size() int {
	const fixedFields = 256
	size := fixedFields + len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

func (a Answer) toProto() *controlpb.KeptAnswerReply {
	reply := &controlpb.KeptAnswerReply{
		Found:   a.State == AnswerKept,
		Running: a.State == AnswerRunning,
		Status:  int32(a.Status),
		Body:    a.Body,
	}
	for name, values := range a.Header {
		for _, value := range values {
			reply.Headers = append(reply.Headers, &controlpb.Header{Name: name, Value: value})
		}
	}
	return reply
}

func answerFromProto(reply *controlpb.KeptAnswerReply) Answer {
	if reply.Running {
		return Answer{State: AnswerRunning}
	}
	if !reply.Found {
		return Answer{}
	}
	answer := Answer{State: AnswerKept, Status: int(reply.Status), Header: make(http.Header), Body: reply.Body}
	for _, header := range reply.Headers {
		answer.Header.Add(header.Name, header.Value)
	}
	return answer
}
