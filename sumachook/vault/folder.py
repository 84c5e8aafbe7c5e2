"""The data folder of a process on a real disk."""

import os
from pathlib import Path

from sumachook.fault import Fault
from sumachook.vault.records import pack_record, read_records


class Folder:
    """Files of one data folder; nothing counts before `fsync` came back (§9.1)."""

    __slots__ = ("path",)

    def __init__(self, path: Path):
        self.path = path
        path.mkdir(parents=True, exist_ok=True)

    def load(self, name: str):
        """The file's records, after its half-written tail was cut off; or a fault."""
        filePath = self.path / name
        if not filePath.exists():
            return ()
        raw = filePath.read_bytes()
        answer = read_records(raw)
        if isinstance(answer, Fault):
            return answer.because(f"{name}: {answer.reason}")
        records, goodLength = answer
        if goodLength < len(raw):
            with open(filePath, "r+b") as file:
                file.truncate(goodLength)
                os.fsync(file.fileno())
        return records

    def append(self, name: str, records) -> None:
        self._write(name, "ab", b"".join(pack_record(record) for record in records))

    def rewrite(self, name: str, records) -> None:
        self._write(name + ".new", "wb", b"".join(pack_record(record) for record in records))
        os.replace(self.path / (name + ".new"), self.path / name)
        self._sync_folder()

    def journal(self, name: str, lines) -> None:
        self._write(name, "ab", b"".join(line + b"\n" for line in lines))

    def _write(self, name, mode, raw):
        isNew = not (self.path / name).exists()
        with open(self.path / name, mode) as file:
            file.write(raw)
            file.flush()
            os.fsync(file.fileno())
        if isNew:
            self._sync_folder()

    def _sync_folder(self):
        folderHandle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(folderHandle)
        finally:
            os.close(folderHandle)


def test_tail_is_cut_and_middle_stops(tmp_path):
    folder = Folder(tmp_path / "data")
    folder.append("log", [["one"], ["two"]])
    filePath = tmp_path / "data" / "log"
    whole = filePath.read_bytes()
    filePath.write_bytes(whole[:-2])
    assert folder.load("log") == (("one",),)
    folder.append("log", [["three"]])
    assert folder.load("log") == (("one",), ("three",))
    raw = filePath.read_bytes()
    filePath.write_bytes(raw[:18] + b"!" + raw[19:])
    assert "damaged" in str(folder.load("log"))
    folder.rewrite("log", [["fresh"]])
    assert folder.load("log") == (("fresh",),)
