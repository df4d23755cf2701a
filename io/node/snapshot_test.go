package node

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"lentilproxy"
	"lentilproxy/core/conf"
)

// pagedTable is a table that calls a function after each page of resources has been read, with the number of pages so far.
type pagedTable struct {
	*memoryTable
	pages  int
	onPage func(page int)
}

// Read implements lentilproxy.Table.
func (table *pagedTable) Read(ctx context.Context, request lentilproxy.ReadRequest) (lentilproxy.ReadResult, error) {
	result, err := table.memoryTable.Read(ctx, request)
	if slices.Contains(request.Prefixes, prefixResource) {
		table.pages++
		table.onPage(table.pages)
	}
	return result, err
}

// change commits a change as the next revision.
func (table *pagedTable) change(t *testing.T, change conf.Change) {
	t.Helper()
	result, err := table.memoryTable.Read(t.Context(), lentilproxy.ReadRequest{Keys: []string{rowHead}})
	if err != nil {
		t.Fatal(err)
	}
	head := result.Row(rowHead)
	revision, err := decodeHead(head)
	if err != nil {
		t.Fatal(err)
	}
	change.Revision = revision + 1
	change.Token = fmt.Sprint("token-", change.Revision)
	committed, err := table.Commit(t.Context(), transaction(head, change))
	if err != nil || !committed.Committed {
		t.Fatal("the change was not committed")
	}
}

func key(number int, withdrawn bool) conf.Resource {
	return conf.Resource{Kind: conf.KindKey, Name: fmt.Sprintf("key-%05d", number), APIKey: &conf.Key{Workspace: "shop", Withdrawn: withdrawn}}
}

// Guards against changes that are lost on a host because they were made while it read the configuration in pages, and were followed
// by a change in a later page.
func TestChangesDuringASnapshotInPagesAreKept(t *testing.T) {
	for _, page := range []int{1, 2} {
		t.Run(fmt.Sprint("after page ", page), func(t *testing.T) {
			is := is.New(t)
			table := &pagedTable{memoryTable: newMemoryTable(), onPage: func(int) {}}
			const count = 2*scanPageSize + 10
			var keys []conf.Resource
			for number := range count {
				keys = append(keys, key(2*number, false))
			}
			table.change(t, conf.Change{Puts: keys})
			table.onPage = func(read int) {
				if read != page {
					return
				}
				table.change(t, conf.Change{Puts: []conf.Resource{key(0, true), key(1, false)}})
				table.change(t, conf.Change{Deletes: []conf.Ref{keys[2].Ref(), keys[count-2].Ref()}})
				table.change(t, conf.Change{Puts: []conf.Resource{key(2*count-2, true), key(2*count+1, false)}})
			}
			node := &Node{table: table}
			changes, state, err := node.changesAfter(t.Context(), conf.LoadState(0, nil))
			is.NoErr(err)
			state = state.Apply(changes...)
			is.Equal(state.Revision(), int64(4))
			is.Equal(state.Count(conf.KindKey), count)
			for _, name := range []string{key(0, true).Name, key(2*count-2, true).Name} {
				is.True(state.Key(name).Withdrawn)
			}
			is.True(state.Key(key(1, false).Name) != nil)
			is.True(state.Key(key(2*count+1, false).Name) != nil)
			is.True(state.Key(keys[2].Name) == nil)
			is.True(state.Key(keys[count-2].Name) == nil)
		})
	}
}
