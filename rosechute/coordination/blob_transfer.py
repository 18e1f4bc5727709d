"""Transfer of the large fields of messages between core machines, so that they do not delay urgent messages.

A message is sent with references in place of its large fields. The receiver fills in the contents that it has; most
machines have the configuration that a proposal starts from. It holds the message while it requests the missing
contents from the sender, one chunk at a time, from the offset that it has reached. So no byte is sent twice after a
lost chunk, a repeated message or a change of the sender, and a heartbeat waits for at most one chunk.

    MISSING --reference--> REQUESTED --chunk--> REQUESTED --last chunk, digest matches--> CACHED
    REQUESTED --time-out--> REQUESTED, from the same offset
    REQUESTED --last chunk, digest differs; other encoding--> REQUESTED, from the start
    REQUESTED --no message refers to it any more--> MISSING

The receiver adapts the size of the chunks to the delay: larger while responses take little longer than the fastest
one, smaller once they queue at the sender's link (delay-based congestion control: RFC 6817, LEDBAT).

The replica tolerates messages that are late, repeated or out of order, so a message may be held. Machines of earlier
versions are sent complete messages. This module does no input or output: it takes time and messages, and returns
messages.
"""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from rosechute.coordination.actions import SendMessage
from rosechute.coordination.blob_cache import BlobCache
from rosechute.coordination.blob_fields import LARGE_FIELDS, blob_digest, fill_field, large_fields
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.sized_cache import SizedCache
from rosechute.coordination.views import identity_to_message
from rosechute.messages import coordination_pb2 as pb

MAX_BLOB_BYTES = 16 * 1024 * 1024  # larger references are rejected; a configuration has up to 8 MiB
MIN_CHUNK_BYTES = 8 * 1024  # size of the first chunk
MAX_CHUNK_BYTES = 256 * 1024
LOW_DELAY_S = 0.03  # delay beyond the fastest response below which chunks grow
HIGH_DELAY_S = 0.06  # delay above which chunks shrink; a heartbeat may be delayed by as much
MIN_TIMEOUT_S = 0.25  # minimum time before a chunk is requested again
TIMEOUT_RESPONSES = 4.0  # the same time-out in multiples of the last response time
WANTED_S = 3.0  # how long a content is requested after the last message that refers to it
MAX_HELD_MESSAGES = 32  # messages that wait for contents; beyond this number the oldest is dropped
COMPRESSION_LEVEL = 1  # zlib level: configurations shrink to a tenth, and the fastest level does nearly as well
ENCODED_LIMIT_BYTES = 16 * 1024 * 1024  # maximum size of the cache of encoded contents


class ReceivedMessages(NamedTuple):
    """Result of receiving a message.

    Attributes:
        complete: complete messages for the replica, in order.
        sends: messages to other machines.
        problem: why the message was rejected; empty if it was accepted.
    """

    complete: list[pb.CoreMessage]
    sends: list[SendMessage]
    problem: str = ""


class _Encoded(NamedTuple):
    """A content as it is sent."""

    data: bytes
    is_compressed: bool


class _HeldKey(NamedTuple):
    """Key of a held message. A newer message with the same key replaces it."""

    sender_id: str
    kind: str


@dataclass(slots=True)
class _Download:
    """A content that is being received. Times are of the machine's steady clock, in seconds.

    Attributes:
        length: bytes of the content.
        source: address to request it from.
        last_referenced_at: when a message referred to it last.
        received: encoded bytes, without gaps.
        encoded_length: bytes of the whole encoded content; 0 before the first chunk.
        is_compressed: whether the encoded content is compressed.
        requested_at: when the newest chunk was requested.
        chunk_bytes: size of the next chunk.
        fastest_s: shortest response time so far.
        response_s: newest response time.
    """

    length: int
    source: str
    last_referenced_at: float
    received: bytearray = field(default_factory=bytearray)
    encoded_length: int = 0
    is_compressed: bool = False
    requested_at: float = 0.0
    chunk_bytes: int = MIN_CHUNK_BYTES
    fastest_s: float = float("inf")
    response_s: float = 0.0

    def restart(self) -> None:
        """Discard what was received, so that the next request starts at offset 0."""
        self.received.clear()
        self.encoded_length = 0

    def is_overdue(self, now: float) -> bool:
        """Return whether the requested chunk should have arrived by now."""
        return now - self.requested_at > max(MIN_TIMEOUT_S, TIMEOUT_RESPONSES * self.response_s)

    def is_recently_referenced(self, now: float) -> bool:
        """Return whether a message has referred to the content recently."""
        return now - self.last_referenced_at <= WANTED_S

    def on_response(self, now: float) -> None:
        """Adapt the size of the chunks to the response time of the newest one."""
        self.response_s = now - self.requested_at
        self.fastest_s = min(self.fastest_s, self.response_s)
        delay_s = self.response_s - self.fastest_s
        if delay_s < LOW_DELAY_S:
            self.chunk_bytes = min(2 * self.chunk_bytes, MAX_CHUNK_BYTES)
        elif delay_s > HIGH_DELAY_S:
            self.chunk_bytes = max(self.chunk_bytes // 2, MIN_CHUNK_BYTES)

    def content(self) -> bytes | None:
        """Return the decoded content, or None where it is damaged."""
        if not self.is_compressed:
            return bytes(self.received)
        try:
            return zlib.decompressobj().decompress(bytes(self.received), self.length + 1)
        except zlib.error:
            return None


class BlobTransfer:
    """Transfer of the large fields that one machine sends and receives.

    Args:
        own: this machine.
        state_blobs: returns the contents of large fields in the machine's state.
    """

    def __init__(self, own: MachineIdentity, state_blobs: Callable[[], Iterable[bytes]]) -> None:
        self._own = own
        self._cache = BlobCache(state_blobs)
        self._receivers: dict[str, bool] = {}  # whether the machine at an address supports references
        self._encoded: SizedCache[_Encoded] = SizedCache(ENCODED_LIMIT_BYTES)
        self._downloads: dict[bytes, _Download] = {}  # downloads by digest
        self._held: OrderedDict[_HeldKey, pb.CoreMessage] = OrderedDict()

    # Sending

    def prepare(self, address: str, message: pb.CoreMessage) -> pb.CoreMessage:
        """Return the message to send: with references if the receiver supports them."""
        message.receives_blobs = True
        if not self._receivers.get(address, False):
            return message
        fields = large_fields(message)
        if not fields:
            return message
        prepared = pb.CoreMessage()
        prepared.CopyFrom(message)
        for number, data in fields:
            fill_field(prepared, number, b"")
            prepared.blobs.add(field=number, digest=self._cache.add(data), length=len(data))
        return prepared

    def _on_request(self, sender: pb.Machine, request: pb.BlobRequest) -> list[SendMessage]:
        """Send a chunk, or nothing if the content is no longer available here."""
        encoded = self._encode(request.digest)
        if encoded is None or request.offset > len(encoded.data):
            return []
        size = min(max(request.max_bytes, MIN_CHUNK_BYTES), MAX_CHUNK_BYTES)
        chunk = pb.BlobChunk(
            digest=request.digest,
            offset=request.offset,
            data=encoded.data[request.offset : request.offset + size],
            encoded_length=len(encoded.data),
            compressed=encoded.is_compressed,
        )
        return [self._send(sender.peer, pb.CoreMessage(blob_chunk=chunk))]

    def _encode(self, digest: bytes) -> _Encoded | None:
        """Return the encoding of a content, computed once for all receivers; None where the content is unknown."""
        encoded = self._encoded.find(digest)
        if encoded is not None:
            return encoded
        blob = self._cache.find(digest)
        if blob is None:
            return None
        compressed = zlib.compress(blob, COMPRESSION_LEVEL)
        is_compressed = len(compressed) < len(blob)
        encoded = _Encoded(compressed if is_compressed else blob, is_compressed)
        self._encoded.add(digest, encoded, len(encoded.data))
        return encoded

    # Receiving

    def receive(self, now: float, message: pb.CoreMessage) -> ReceivedMessages:
        """Handle a message of another machine; return the messages that are complete now, and those to send."""
        self._receivers[message.sender.peer] = message.receives_blobs
        kind = message.WhichOneof("body")
        if kind == "blob_request":
            return ReceivedMessages([], self._on_request(message.sender, message.blob_request))
        if kind == "blob_chunk":
            return self._on_chunk(now, message.blob_chunk)
        if not message.blobs:
            return ReceivedMessages([message], [])
        return self._on_references(now, message, kind or "")

    def tick(self, now: float) -> list[SendMessage]:
        """Request overdue chunks again; drop downloads that no message has referred to recently."""
        self._downloads = {
            digest: each for digest, each in self._downloads.items() if each.is_recently_referenced(now)
        }
        overdue = [digest for digest, each in self._downloads.items() if each.is_overdue(now)]
        return [self._request(now, digest) for digest in overdue]

    def _on_references(self, now: float, message: pb.CoreMessage, kind: str) -> ReceivedMessages:
        """Deliver a message whose contents are all available; otherwise hold it and request the missing ones."""
        if not _are_references_valid(message):
            return ReceivedMessages([], [], f"invalid reference in {kind}")
        missing = [each for each in message.blobs if self._cache.find(each.digest) is None]
        if not missing:
            self._fill(message)
            return ReceivedMessages([message], [])
        self._hold(_HeldKey(message.sender.id, kind), message)
        sends: list[SendMessage] = []
        for reference in missing:
            sends += self._start_or_continue_download(now, reference, message.sender.peer)
        return ReceivedMessages([], sends)

    def _hold(self, key: _HeldKey, message: pb.CoreMessage) -> None:
        self._held.pop(key, None)
        self._held[key] = message
        if len(self._held) > MAX_HELD_MESSAGES:
            self._held.popitem(last=False)

    def _start_or_continue_download(self, now: float, reference: pb.BlobReference, source: str) -> list[SendMessage]:
        """Start a download; an overdue one continues from the newest machine that has referred to the content."""
        download = self._downloads.get(reference.digest)
        if download is not None:
            download.last_referenced_at = now
            if not download.is_overdue(now):
                return []
            download.source = source
        else:
            self._downloads[reference.digest] = _Download(reference.length, source, last_referenced_at=now)
        return [self._request(now, reference.digest)]

    def _request(self, now: float, digest: bytes) -> SendMessage:
        download = self._downloads[digest]
        if download.requested_at and download.is_overdue(now):
            download.chunk_bytes = MIN_CHUNK_BYTES
        download.requested_at = now
        request = pb.BlobRequest(digest=digest, offset=len(download.received), max_bytes=download.chunk_bytes)
        return self._send(download.source, pb.CoreMessage(blob_request=request))

    def _on_chunk(self, now: float, chunk: pb.BlobChunk) -> ReceivedMessages:
        """Append a chunk that follows what was received; request the next one, or complete the content."""
        download = self._downloads.get(chunk.digest)
        if download is None or chunk.offset != len(download.received):
            return ReceivedMessages([], [])
        encoding = (chunk.encoded_length, chunk.compressed)
        if download.encoded_length and (download.encoded_length, download.is_compressed) != encoding:
            download.restart()  # another sender uses a different encoding
            return ReceivedMessages([], [self._request(now, chunk.digest)])
        download.encoded_length, download.is_compressed = encoding
        download.received += chunk.data
        download.on_response(now)
        if len(download.received) < download.encoded_length:
            return ReceivedMessages([], [self._request(now, chunk.digest)])
        return self._complete(now, chunk.digest, download)

    def _complete(self, now: float, digest: bytes, download: _Download) -> ReceivedMessages:
        """Cache a content whose digest matches, and deliver the messages that it completes."""
        content = download.content()
        if content is None or len(content) != download.length or blob_digest(content) != digest:
            download.restart()
            return ReceivedMessages([], [self._request(now, digest)], "content does not match its digest")
        del self._downloads[digest]
        self._cache.add(content)
        complete = [key for key, message in self._held.items() if self._has_all(message)]
        messages = [self._held.pop(key) for key in complete]
        for message in messages:
            self._fill(message)
        return ReceivedMessages(messages, [])

    def _has_all(self, message: pb.CoreMessage) -> bool:
        return all(self._cache.find(each.digest) is not None for each in message.blobs)

    def _fill(self, message: pb.CoreMessage) -> None:
        for reference in message.blobs:
            blob = self._cache.find(reference.digest)
            assert blob is not None
            fill_field(message, reference.field, blob)
        del message.blobs[:]

    def _send(self, address: str, message: pb.CoreMessage) -> SendMessage:
        message.sender.CopyFrom(identity_to_message(self._own))
        message.receives_blobs = True
        return SendMessage(address, message)


def _are_references_valid(message: pb.CoreMessage) -> bool:
    """Return whether all references name large fields of the message, of at most `MAX_BLOB_BYTES`."""
    kind = message.WhichOneof("body")
    return all(
        each.field in LARGE_FIELDS and LARGE_FIELDS[each.field][0] == kind and each.length <= MAX_BLOB_BYTES
        for each in message.blobs
    )
