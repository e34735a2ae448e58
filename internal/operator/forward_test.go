package operator_test

import (
	"context"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

var _ = Describe("A change outside the store's region", func() {
	var (
		cluster             *fakeCluster
		far, reader, second *fakeNode
		request             operator.ChangeRequest
	)

	BeforeEach(func() {
		cluster = newCluster()
		far, second, reader = cluster.add("far-1", "far"), cluster.add("near-1", "near"), cluster.add("near-2", "near")
		reader.record.Reader = true
		request = operator.ChangeRequest{Change: config.Change{ID: "c1", DeleteTargets: []config.Deletion{{Name: "t"}}}}
	})

	send := func() (operator.ChangeResponse, error) { return far.client.Change(context.Background(), request) }

	// dropResponse reads the request and closes the connection without a response.
	dropResponse := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}

	It("is applied by the reader there, so that the document does not cross the link between regions, which costs money", func() {
		response, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Version).To(BeEquivalentTo(7))
		Expect(reader.editor.changes()).To(Equal([]string{"c1"}))
		Expect(far.editor.changes()).To(BeEmpty())
		Expect(far.counter("forwarded")).To(BeEquivalentTo(1))
	})

	It("is forwarded to another node there when the reader is unreachable", func() {
		reader.server.Close()
		_, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(second.editor.changes()).To(Equal([]string{"c1"}))
		Expect(far.counter("forward_failures")).To(BeEquivalentTo(1))
	})

	It("is written by the local node under the same id when no node there responds", func() {
		reader.server.Close()
		second.server.Close()
		_, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(far.editor.changes()).To(Equal([]string{"c1"}))
	})

	It("is not forwarded to an unreachable region, which would only waste time", func() {
		cluster.unreachable = []string{"near"}
		_, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(far.editor.changes()).To(Equal([]string{"c1"}))
	})

	It("is marked and never forwarded twice, since nodes that disagree about regions would forward it forever", func() {
		var marker string
		reader.intercept = func(w http.ResponseWriter, r *http.Request) {
			marker = r.Header.Get("Rosemaryladder-Forwarded")
			reader.handler.ServeHTTP(w, r)
		}
		_, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(marker).NotTo(BeEmpty())
		far.intercept = func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set("Rosemaryladder-Forwarded", marker)
			far.handler.ServeHTTP(w, r)
		}
		_, err = send()
		Expect(err).NotTo(HaveOccurred())
		Expect(far.editor.changes()).To(Equal([]string{"c1"}))
	})

	It("returns the refusal of the other node without another attempt", func() {
		reader.editor.apply = func(context.Context, config.Change) (config.Outcome, error) {
			return config.Outcome{}, result.Errorf(result.VersionConflict, "target t changed; nothing was accepted")
		}
		_, err := send()
		Expect(result.CodeOf(err)).To(Equal(result.VersionConflict))
		Expect(append(second.editor.changes(), far.editor.changes()...)).To(BeEmpty())
	})

	It("is not reported as refused after a lost response, since the other node may still apply it", func() {
		reader.intercept, second.intercept = dropResponse, dropResponse
		far.editor.apply = func(context.Context, config.Change) (config.Outcome, error) {
			return config.Outcome{}, result.Errorf(result.StoreUnavailable, "nothing was accepted")
		}
		_, err := send()
		Expect(result.CodeOf(err)).To(Equal(result.ChangeOutcomeUnknown))
		Expect(err.Error()).To(ContainSubstring("c1"))
	})

	It("is reported as accepted after a lost response once another node has stored it", func() {
		reader.intercept = dropResponse
		_, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(second.editor.changes()).To(Equal([]string{"c1"}))
	})

	It("returns the local refusal unchanged when no node there was reached", func() {
		reader.server.Close()
		second.server.Close()
		far.editor.apply = func(context.Context, config.Change) (config.Outcome, error) {
			return config.Outcome{}, result.Errorf(result.StoreUnavailable, "nothing was accepted")
		}
		_, err := send()
		Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
	})
})
