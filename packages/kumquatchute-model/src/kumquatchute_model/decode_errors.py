"""Exceptions of the decoders of JSON and MessagePack."""

import msgspec

# msgspec raises RecursionError for values that are nested too deeply, also in
# fields that it skips, and UnicodeDecodeError for some strings.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
