"""Estimate of the memory of parsed documents, against what Python takes for them."""

import gc
import tracemalloc

import msgspec
import pytest

from sumachook.memory.json_size import parsed_bytes

COUNT = 20_000
DOCUMENTS = {
    "empty lists": b"[" + b"[]," * COUNT + b"[]]",
    "empty objects": b"[" + b"{}," * COUNT + b"{}]",
    "small objects": b"[" + b'{"a":1},' * COUNT + b"{}]",
    "numbers": b"[" + b"1.5," * COUNT + b"1]",
    "texts": b"[" + b'"ab",' * COUNT + b'""]',
    "routes": b"[" + b'{"name":"r-1","host":"a.example","path-prefix":"/a/","timeout-ms":5000},' * COUNT + b"{}]",
}


@pytest.mark.parametrize("name", DOCUMENTS)
def test_estimate_is_not_below_what_a_parsed_document_takes(name):
    """Given documents with many parts, the estimate is at least the memory that parsing them takes."""
    raw = DOCUMENTS[name]
    gc.collect()
    tracemalloc.start()
    try:
        document = msgspec.json.decode(raw)
        taken, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert document and taken <= parsed_bytes(raw)
