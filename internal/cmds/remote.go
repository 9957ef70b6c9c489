package cmds

import (
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/pkg/client"
)

// remote holds the flags of commands that connect to a running system.
type remote struct {
	addresses []string
	workspace string
	caller    string
	operator  string
}

// remoteOptions is implemented by the options of commands that embed both remote
// and output.
type remoteOptions interface {
	check(en *env) error
	client() (*client.Client, error)
}

// output holds the flag that selects the output format.
type output struct {
	format string
}

const (
	defaultAddress = "127.0.0.1:7080"

	formatJSON = "json"
	formatText = "text"
)

func (re *remote) flags(sc *flaggy.Subcommand) {
	sc.StringSlice(&re.addresses, "", "address", "IP:port of an entry host, may be repeated; "+defaultAddress+" if none is given")
	sc.String(&re.workspace, "", "workspace", "workspace of the caller")
	sc.String(&re.caller, "", "caller", "caller within the workspace")
}

// client returns a client of the entry hosts given by the flags.
func (re *remote) client() (*client.Client, error) {
	if len(re.addresses) == 0 {
		re.addresses = []string{defaultAddress}
	}
	for _, ad := range re.addresses {
		if err := setup.CheckAddress(ad); err != nil {
			return nil, usageErrorf("flag --address: %v", err)
		}
	}
	return client.New(client.Config{
		Addresses: re.addresses, Workspace: re.workspace, Caller: re.caller, Operator: re.operator,
	}), nil
}

// withClient validates the flags of a command and calls fn with a client of the
// system.
func (en *env) withClient(op remoteOptions, fn func(cl *client.Client) error) error {
	if err := op.check(en); err != nil {
		return err
	}
	cl, err := op.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	return fn(cl)
}

func (op *output) flags(sc *flaggy.Subcommand) {
	op.format = formatText
	sc.String(&op.format, "", "output", "output format: text or json")
}

// check validates the output format and sets it in en, which also applies it to
// errors.
func (op *output) check(en *env) error {
	switch op.format {
	case formatJSON, formatText:
		en.json = op.format == formatJSON
		return nil
	default:
		return usageErrorf("flag --output: %q must be text or json", op.format)
	}
}

// emit writes a result to standard output in the selected format.
func emit[T any](en *env, value T, text func(out io.Writer, value T) error) error {
	en.emitted = true
	if en.json {
		return writeJSON(en.out, value)
	}
	return text(en.out, value)
}

func writeJSON(out io.Writer, value any) error {
	ec := json.NewEncoder(out)
	ec.SetIndent("", "  ")
	return ec.Encode(value)
}

// readFile reads a file that is named on the command line. Its error is a usage
// error.
func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err == nil {
		return data, nil
	}
	var pe *fs.PathError
	if errors.As(err, &pe) {
		return nil, usageErrorf("%s: %v", name, pe.Err)
	}
	return nil, usageErrorf("%s: %v", name, err)
}

// parseBool parses a required flag whose value must be true or false.
func parseBool(flag, text string) (bool, error) {
	switch text {
	case "true", "false":
		return strconv.ParseBool(text)
	case "":
		return false, usageErrorf("flag --%s is required: true or false", flag)
	default:
		return false, usageErrorf("flag --%s: %q must be true or false", flag, text)
	}
}
