package claim

import (
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// ResponseState is the state of the response of a call at the node that claimed it.
type ResponseState int

// The states of the response of a claimed call.
const (
	// ResponseUnknown means that the node retains no response for the key.
	ResponseUnknown ResponseState = iota
	// ResponsePending means that the call is still running.
	ResponsePending
	// ResponseRetained means that the response is available.
	ResponseRetained
)

// Response is the response of a backend server to a claimed call. Only in the
// state ResponseRetained does it have a status, headers and a body.
type Response struct {
	State  ResponseState
	Status int
	Header http.Header
	Body   []byte
}

// size estimates the memory that the response takes, in bytes.
func (r Response) size() int {
	const fixedFields = 256
	size := fixedFields + len(r.Body)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

func (r Response) toProto() *controlpb.KeptAnswerReply {
	reply := &controlpb.KeptAnswerReply{
		Found:   r.State == ResponseRetained,
		Running: r.State == ResponsePending,
		Status:  int32(r.Status),
		Body:    r.Body,
	}
	for name, values := range r.Header {
		for _, value := range values {
			reply.Headers = append(reply.Headers, &controlpb.Header{Name: name, Value: value})
		}
	}
	return reply
}

func responseFromProto(reply *controlpb.KeptAnswerReply) Response {
	if reply.Running {
		return Response{State: ResponsePending}
	}
	if !reply.Found {
		return Response{}
	}
	response := Response{State: ResponseRetained, Status: int(reply.Status), Header: make(http.Header), Body: reply.Body}
	for _, header := range reply.Headers {
		response.Header.Add(header.Name, header.Value)
	}
	return response
}
