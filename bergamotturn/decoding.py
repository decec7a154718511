"""Decoding of bytes that another process wrote.

Numbers beyond what every JSON implementation keeps exactly can't be passed on:
messages to other instances have no room for more than 64 bits.

msgspec reports invalid content as :exc:`msgspec.DecodeError`, but content that
is nested too deeply as :exc:`RecursionError`, and text that is not UTF-8 in
part as :exc:`UnicodeDecodeError`. The functions here raise
:exc:`msgspec.DecodeError` for all of them.
"""

from typing import Annotated, Final, Protocol, TypeVar

import msgspec

__all__ = ('ExactNumber', 'WholeNumber', 'decode', 'decode_json')

_MAX_INTEGER: Final = 9_007_199_254_740_991
_IN_RANGE: Final = msgspec.Meta(ge=-_MAX_INTEGER, le=_MAX_INTEGER)
ExactNumber = Annotated[float, _IN_RANGE]
#: An integer that JSON may have as ``2.0``, which msgspec doesn't decode as
#: ``int``. It is decoded as ``float``, exact in this range.
WholeNumber = Annotated[
    float, msgspec.Meta(ge=-_MAX_INTEGER, le=_MAX_INTEGER, multiple_of=1)
]

_Decoded = TypeVar('_Decoded')
_Decoded_co = TypeVar('_Decoded_co', covariant=True)


class _Decoder(Protocol[_Decoded_co]):
    """A decoder of msgspec, for JSON or MessagePack."""

    def decode(self, content: bytes, /) -> _Decoded_co:
        """Return the decoded content."""


def decode(decoder: _Decoder[_Decoded], content: bytes) -> _Decoded:
    """Return ``content`` as ``decoder`` decodes it.

    :raises msgspec.DecodeError: if it is invalid in any way.
    """
    try:
        return decoder.decode(content)
    except RecursionError as error:
        raise msgspec.DecodeError('nested too deeply') from error
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_json(content: bytes, decoded_type: type[_Decoded]) -> _Decoded:
    """Return JSON ``content`` as ``decoded_type``.

    :raises msgspec.DecodeError: if it is invalid in any way.
    """
    return decode(msgspec.json.Decoder(decoded_type), content)
