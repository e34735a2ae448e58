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
		cluster          *fakeCluster
		far, reader, two *fakeNode
		request          operator.ChangeRequest
	)

	BeforeEach(func() {
		cluster = newCluster()
		far, two, reader = cluster.add("far-1", "far"), cluster.add("near-1", "near"), cluster.add("near-2", "near")
		reader.record.Reader = true
		request = operator.ChangeRequest{Change: config.Change{ID: "c1", DeleteTargets: []config.Deletion{{Name: "t"}}}}
	})

	send := func() (operator.ChangeResponse, error) { return far.client.Change(context.Background(), request) }

	// swallow takes the request and sends no answer.
	swallow := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}

	It("is made by the reader there, so that the document does not cross the paid link", func() {
		reply, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Version).To(BeEquivalentTo(7))
		Expect(reader.editor.changes()).To(Equal([]string{"c1"}))
		Expect(far.editor.changes()).To(BeEmpty())
		Expect(far.counter("forwarded")).To(BeEquivalentTo(1))
	})

	It("goes to another node there when the reader is gone", func() {
		reader.server.Close()
		_, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(two.editor.changes()).To(Equal([]string{"c1"}))
		Expect(far.counter("forward_failures")).To(BeEquivalentTo(1))
	})

	It("is written by the node itself under the same id when nobody there answers", func() {
		reader.server.Close()
		two.server.Close()
		_, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(far.editor.changes()).To(Equal([]string{"c1"}))
	})

	It("is not sent into a region that is cut off, which would only cost time", func() {
		cluster.unreachable = []string{"near"}
		_, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(far.editor.changes()).To(Equal([]string{"c1"}))
	})

	It("is marked and never forwarded twice, which nodes that disagree about regions would do for ever", func() {
		var mark string
		reader.intercept = func(w http.ResponseWriter, r *http.Request) {
			mark = r.Header.Get("Rosemaryladder-Forwarded")
			reader.handler.ServeHTTP(w, r)
		}
		_, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(mark).NotTo(BeEmpty())
		far.intercept = func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set("Rosemaryladder-Forwarded", mark)
			far.handler.ServeHTTP(w, r)
		}
		_, err = send()
		Expect(err).NotTo(HaveOccurred())
		Expect(far.editor.changes()).To(Equal([]string{"c1"}))
	})

	It("passes the refusal of the other node on, without another try", func() {
		reader.editor.apply = func(context.Context, config.Change) (config.Outcome, error) {
			return config.Outcome{}, result.Errorf(result.VersionConflict, "target t changed; nothing was accepted")
		}
		_, err := send()
		Expect(result.CodeOf(err)).To(Equal(result.VersionConflict))
		Expect(append(two.editor.changes(), far.editor.changes()...)).To(BeEmpty())
	})

	It("is not called refused after a lost answer, since the other node may still make it", func() {
		reader.intercept, two.intercept = swallow, swallow
		far.editor.apply = func(context.Context, config.Change) (config.Outcome, error) {
			return config.Outcome{}, result.Errorf(result.StoreUnavailable, "nothing was accepted")
		}
		_, err := send()
		Expect(result.CodeOf(err)).To(Equal(result.ChangeOutcomeUnknown))
		Expect(err.Error()).To(ContainSubstring("c1"))
	})

	It("is called accepted after a lost answer once it is known to be stored", func() {
		reader.intercept = swallow
		_, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(two.editor.changes()).To(Equal([]string{"c1"}))
	})

	It("keeps a plain refusal plain when no node there was reached", func() {
		reader.server.Close()
		two.server.Close()
		far.editor.apply = func(context.Context, config.Change) (config.Outcome, error) {
			return config.Outcome{}, result.Errorf(result.StoreUnavailable, "nothing was accepted")
		}
		_, err := send()
		Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
	})
})
