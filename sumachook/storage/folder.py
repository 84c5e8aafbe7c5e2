"""The data folder of a process on a real disk."""

import os
from pathlib import Path

import msgspec

from sumachook.fault import Fault
from sumachook.storage.records import pack_record, read_records


class Folder:
    """Files of one data folder; nothing counts before `fsync` came back (§13.1)."""

    __slots__ = ("path",)

    def __init__(self, path: Path):
        self.path = path
        path.mkdir(parents=True, exist_ok=True)

    def load(self, name: str):
        """The file's records, after its half-written tail was cut off; or a fault."""
        file_path = self.path / name
        if not file_path.exists():
            return ()
        raw = file_path.read_bytes()
        answer = read_records(raw)
        if isinstance(answer, Fault):
            return answer.because(f"{name}: {answer.reason}")
        records, good_length = answer
        if good_length < len(raw):
            with open(file_path, "r+b") as file:
                file.truncate(good_length)
                os.fsync(file.fileno())
        return records

    def take(self, batch) -> None:
        """Writes (verb, name, records, ...) in order; appends to one file that follow on each other share a sync."""
        waiting = {}
        for verb, name, records, *_ in batch:
            if verb == "rewrite":
                waiting.pop(name, None)  # the image holds what was to be appended before it
                self._rewrite(name, records)
            else:
                pack = _pack_line if verb == "journal" else pack_record
                waiting.setdefault(name, []).extend(pack(record) for record in records)
        for name, raws in waiting.items():
            self._write(name, "ab", b"".join(raws))

    def _rewrite(self, name, records):
        self._write(name + ".new", "wb", b"".join(pack_record(record) for record in records))
        os.replace(self.path / (name + ".new"), self.path / name)
        self._sync_folder()

    def _write(self, name, mode, raw):
        is_new = not (self.path / name).exists()
        with open(self.path / name, mode) as file:
            file.write(raw)
            file.flush()
            os.fsync(file.fileno())
        if is_new:
            self._sync_folder()

    def _sync_folder(self):
        folder_handle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(folder_handle)
        finally:
            os.close(folder_handle)


def _pack_line(row) -> bytes:
    return msgspec.json.encode(row) + b"\n"


def test_tail_is_cut_and_middle_stops(tmp_path):
    folder = Folder(tmp_path / "data")
    folder.take([("disk", "log", [["one"]], None), ("disk", "log", [["two"]], None)])
    file_path = tmp_path / "data" / "log"
    whole = file_path.read_bytes()
    file_path.write_bytes(whole[:-2])
    assert folder.load("log") == (("one",),)
    folder.take([("disk", "log", [["three"]])])
    assert folder.load("log") == (("one",), ("three",))
    raw = file_path.read_bytes()
    file_path.write_bytes(raw[:18] + b"!" + raw[19:])
    assert "damaged" in str(folder.load("log"))
    folder.take([("disk", "log", [["old"]]), ("rewrite", "log", [["fresh"]]), ("disk", "log", [["more"]])])
    assert folder.load("log") == (("fresh",), ("more",))


def test_a_rewrite_cut_off_at_any_step_leaves_the_old_file_or_the_new(tmp_path, monkeypatch):
    folder = Folder(tmp_path)
    folder.take([("disk", "log", [["old"]])])
    steps = ("fsync of the new file", "rename")
    for step in steps:
        with monkeypatch.context() as patch:

            def fall(*_):
                raise OSError(step)

            patch.setattr(os, "fsync" if step == steps[0] else "replace", fall)
            try:
                folder.take([("rewrite", "log", [["new"]])])
            except OSError:
                pass
        assert Folder(tmp_path).load("log") == (("old",),)
    (tmp_path / "log.new").write_bytes(b"half a recor")
    assert folder.load("log") == (("old",),)
    folder.take([("rewrite", "log", [["new"]])])
    assert folder.load("log") == (("new",),)
