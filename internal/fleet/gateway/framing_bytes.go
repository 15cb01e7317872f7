package gateway

// byteClass is the set of elements of a message in which a byte may occur.
type byteClass uint8

const (
	classToken  byteClass = 1 << iota // methods and field names (RFC 9110, section 5.6.2)
	classTarget                       // request targets: all but white space and control characters
	classValue                        // field values and chunk extensions: targets, spaces and tabs
)

// byteClasses holds the classes of each byte.
var byteClasses = makeByteClasses()

func makeByteClasses() (classes [256]byteClass) {
	const deleteCharacter = 0x7f
	for b := range classes {
		if b > ' ' && b != deleteCharacter {
			classes[b] = classTarget | classValue
		}
	}
	classes[' '] = classValue
	classes['\t'] = classValue
	const punctuation = "!#$%&'*+-.^_`|~"
	const alphanumeric = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for _, b := range []byte(punctuation + alphanumeric) {
		classes[b] |= classToken
	}
	return classes
}

// prefixLength returns how many bytes at the start of p belong to a class.
func prefixLength(p []byte, class byteClass) int {
	for i, b := range p {
		if byteClasses[b]&class == 0 {
			return i
		}
	}
	return len(p)
}
