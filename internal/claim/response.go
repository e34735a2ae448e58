package claim

import (
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// ResponseState says what a node knows about a call that it claimed.
type ResponseState int

// The states of a claimed call.
const (
	// ResponseUnknown means that the node keeps no answer for the key.
	ResponseUnknown ResponseState = iota
	// ResponsePending means that the call is still running.
	ResponsePending
	// ResponseRetained means that the answer is there.
	ResponseRetained
)

// Response is what a backend server answered to a claimed call. Only a kept answer
// has a status, headers and a body.
type Response struct {
	State  ResponseState
	Status int
	Header http.Header
	Body   []byte
}

// size estimates the memory that the answer takes.
func (a Response) size() int {
	const fixedFields = 256
	size := fixedFields + len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

func (a Response) toProto() *controlpb.KeptAnswerReply {
	reply := &controlpb.KeptAnswerReply{
		Found:   a.State == ResponseRetained,
		Running: a.State == ResponsePending,
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

func answerFromProto(reply *controlpb.KeptAnswerReply) Response {
	if reply.Running {
		return Response{State: ResponsePending}
	}
	if !reply.Found {
		return Response{}
	}
	answer := Response{State: ResponseRetained, Status: int(reply.Status), Header: make(http.Header), Body: reply.Body}
	for _, header := range reply.Headers {
		answer.Header.Add(header.Name, header.Value)
	}
	return answer
}
