package report

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lentilproxy"
	"lentilproxy/io/fake"
	"lentilproxy/io/table"
)

func TestAllExpiredBucketsAreDeletedAfterOneFlush(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(fake.NewTable())
	defer server.Close()
	client := table.New(strings.TrimPrefix(server.URL, "http://"))
	recorder := New(client, "host-1", nil)
	defer recorder.Close(t.Context())
	now := time.Now()
	commit := func(number int64, host string) {
		key := fmt.Sprintf("%s%010d/%s/run", bucketPrefix, number, host)
		_, err := client.Commit(t.Context(), lentilproxy.Transaction{Writes: []lentilproxy.Write{{Key: key, Value: []byte("{}")}}})
		is.NoErr(err)
	}
	for host := range 20 {
		commit(now.Add(-retention).Unix()/3600-1, fmt.Sprint("host-", host))
	}
	commit(now.Unix()/3600, "host-1")
	recorder.deleteExpired(context.Background(), now)
	page, err := client.Read(t.Context(), lentilproxy.ReadRequest{Prefixes: []string{bucketPrefix}, Limit: 100})
	is.NoErr(err)
	is.Equal(len(page.Rows), 1)
}
