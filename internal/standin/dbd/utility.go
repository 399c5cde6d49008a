package dbd

import "strings"

// utility runs the statements that affect only the session. Its last result is false for others.
func (x *session) utility(text string, words []string) (*result, error, bool) {
	switch words[0] {
	case verbSet:
		x.set(text)
		return &result{tag: verbSet}, nil, true
	case verbReset:
		x.reset(text)
		return &result{tag: verbReset}, nil, true
	case verbShow:
		res, err := x.show(text)
		return res, err, true
	case verbDeallocate:
		clear(x.statements)
		return &result{tag: strings.Join(words, " ")}, nil, true
	case verbDiscard:
		if x.tx.inBlock {
			return nil, sqlErrorf(codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block"), true
		}
		clear(x.statements)
		clear(x.portals)
		x.restore(x.settings.initial)
		return &result{tag: "DISCARD ALL"}, nil, true
	case verbCreate:
		if len(words) > 1 && strings.HasPrefix(words[1], "TEMP") {
			return nil, sqlErrorf(codeNotSupported, "temporary tables are not supported"), true
		}
		return nil, nil, false
	default:
		return nil, nil, false
	}
}
