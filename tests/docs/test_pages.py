"""Pages: what docs/brief.md names as proof exists."""

import re
from pathlib import Path

from harness.experiments.scenarios import SCENARIOS
from harness.local_cluster.trials import TRIALS
from sumachook.simulation.fault_injection import FaultInjection

ROOT = Path(__file__).parent.parent.parent


def test_every_proof_that_the_brief_page_names_exists_and_no_row_is_blank():
    """Given the page that says where each point of the brief is built and proved, each name on it is one that runs."""
    page = (ROOT / "docs" / "brief.md").read_text()
    sources = [path.read_text() for folder in ("tests", "sumachook") for path in (ROOT / folder).rglob("*.py")]
    stories = {name for source in sources for name in re.findall(r"^def (test_\w+)", source, re.M)}
    kinds = {
        "scenario": {each.__name__ for each in SCENARIOS},
        "trial": set(TRIALS),
        "storm": {name.removeprefix("_fault_") for name in dir(FaultInjection) if name.startswith("_fault_")},
    }
    proofs = set(re.findall(r"`(test_\w+)`", page))
    assert proofs and proofs <= stories
    for kind, known in kinds.items():
        lists = re.findall(rf"{kind}s? ((?:`\w+`(?:, )?)+)", page)
        assert lists and known, kind
        for names in lists:
            assert set(re.findall(r"`(\w+)`", names)) - stories <= known, (kind, names)
    rows = [line for line in page.splitlines() if line.startswith("|") and not line.startswith("|---")]
    assert len(rows) > 60 and all(cell.strip() for row in rows for cell in row.strip("|").split("|"))
    built = [cell.strip() for row in rows for cell in row.strip("|").split("|")[1:3]]
    linked = [cell for cell in built if re.fullmatch(r"\[[^\]]+\]\([^)]+\)(, \[[^\]]+\]\([^)]+\))*", cell)]
    assert len(linked) > 20 and not [cell for cell in built if re.fullmatch(r"[\d.]+(, [\d.]+)*", cell)]


def _anchors(page: Path) -> set[str]:
    """The anchors of a page's headings, as they are made from their texts."""
    titles = re.findall(r"^#+ (.*)$", page.read_text(), re.M)
    return {re.sub(r"[^\w\- ]", "", title.lower()).replace(" ", "-") for title in titles}


def test_links_between_pages_lead_somewhere():
    """Given all pages, each link to a file or a heading of one is to something that exists."""
    pages = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *(ROOT / "docs").rglob("*.md")]
    checked, broken = 0, []
    for page in pages:
        for target in re.findall(r"\]\(([^)\s]+)\)", page.read_text()):
            if target.startswith("http"):
                continue
            checked += 1
            file, _, anchor = target.partition("#")
            linked = (page.parent / file).resolve() if file else page
            if not linked.exists() or (anchor and anchor not in _anchors(linked)):
                broken.append((str(page.relative_to(ROOT)), target))
    assert checked > 100 and broken == []


def test_glossary_names_folders_and_modules_that_exist():
    """Given the page of terms, each place in the code that it names is there."""
    rows = [line for line in (ROOT / "docs" / "glossary.md").read_text().splitlines() if line.startswith("| ")][1:]
    named = [name for row in rows for name in re.findall(r"`([\w/]+(?:/|\.py))`", row.strip("|").split("|")[-1])]
    tops = (ROOT, ROOT / "sumachook")
    assert len(named) > 60 and [name for name in named if not any((top / name).exists() for top in tops)] == []


def test_comments_refer_to_pages_that_exist():
    """Given the design pages that comments in the code name, each is there; none refers to a section by its number."""
    sources = [path for folder in ("sumachook", "platform", "harness") for path in (ROOT / folder).rglob("*.py")]
    named = {
        (path.name, page) for path in sources for page in re.findall(r"docs/design(?:/[\w-]+)?\.md", path.read_text())
    }
    assert named and [(name, page) for name, page in sorted(named) if not (ROOT / page).exists()] == []
    assert [path.name for path in sources if chr(0xA7) in path.read_text()] == []


def test_no_page_refers_to_a_section_by_its_number():
    """Given the pages that point at others, each does so by a link: numbers of sections of a former page are not left."""
    number = re.compile(r"(?<![\d.,])[1-9]\d?\.\d{1,2}(?=[;).]|,? \||$| waits)", re.M)
    pages = [ROOT / "docs" / name for name in ("brief.md", "source.md", "architecture.md", "glossary.md")]
    found = [(page.name, match.group()) for page in pages for match in number.finditer(page.read_text())]
    assert found == []
    assert number.findall("how it is shared: 7.7. When: 7.5; reachable: 12.4 |") == ["7.7", "7.5", "12.4"]


def test_design_pages_use_the_terms_of_the_field():
    """Given the design pages, no former word of the project stands in their text; names of files and stored kinds may."""
    former = r"\b(beats?|seats?|roster|understud\w+|keepers?|ferry|parcels?|pulses?|fetcher|witness)\b"
    found = []
    for page in (ROOT / "docs" / "design").glob("*.md"):
        text = re.sub(r"`[^`]*`|\]\([^)]*\)|^    .*$|no promise beats", "", page.read_text(), flags=re.M)
        found += [(page.name, word) for word in re.findall(former, text, re.I)]
    assert found == []
