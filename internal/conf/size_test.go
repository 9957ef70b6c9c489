package conf_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/conf"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
)

// TestManifestStaysSmall limits the size of the manifest, which every host reads
// at each poll.
func TestManifestStaysSmall(t *testing.T) {
	is := is.New(t)
	sv, cl := start(t)
	fo := follow(t, conf.FollowerConfig{Store: cl, PollEvery: time.Hour})
	const maxBytes = 16 << 10
	for _, name := range []string{"small", strings.Repeat("workspace ", 3<<10)} {
		content := variant(name)
		cur, _, err := conf.Apply(context.Background(), time.Now(), cl, conf.ApplyRequest{File: "f", Content: content, By: "ana"})
		is.NoErr(err)
		kvsim.Eventually(t, func() bool { return fo.Revision() == cur.Revision })
		is.True(bytes.Equal(fo.Current().Content, content))
		value, found := sv.Value(conf.ManifestKey)
		is.True(found)
		is.True(len(value) < maxBytes)
	}
}
