"""Parses the text that `fleetbench kinds SITE` prints into typed descriptions of trouble kinds.

The text has one line per kind, `name: description`. The description names the fields that the kind reads, with
defaults in brackets, and its variants after `how:`. Sentences before the first kind name variants that hold for whole
groups of kinds, and the faults that may close a day.
"""

import re
from dataclasses import dataclass, field

FIELD_NAMES = ("share", "count", "x", "for_s", "gap_s")
# A description that begins so shares the fields and variants of the kind before it.
SAME_AS_BEFORE = "the same"
ALSO_HEADING = "these may come too:"
# Words that begin an explanation inside a list of variants ("drain, they drain; dark, they fall silent").
EXPLAINING_WORDS = ("they", "only", "all", "again")
KIND_LINE = re.compile(r"^([a-z][a-z_]*): (.+)$")
CLOSING_LINE = re.compile(r"closing = \{ kind = ([^,}]*)")
VARIANT = re.compile(r"^[a-z][a-z_]*$")


@dataclass(frozen=True)
class TroubleKind:
    """One kind of trouble: its fields with their defaults (None where the text gives none) and its variants."""

    name: str
    description: str
    defaults: dict[str, float | None]
    variants: tuple[str, ...]
    expected_on_site: bool

    def reads(self, field_name: str) -> bool:
        return field_name in self.defaults


@dataclass
class KindsText:
    """Everything that the text says."""

    kinds: dict[str, TroubleKind] = field(default_factory=dict)
    server_variants: tuple[str, ...] = ()
    machine_targets: tuple[str, ...] = ()
    machine_additions: tuple[str, ...] = ()
    additions_by_kind: dict[str, tuple[str, ...]] = field(default_factory=dict)
    cut_variants: tuple[str, ...] = ()
    closing_kinds: tuple[str, ...] = ()
    closing_variants: tuple[str, ...] = ()


def without_brackets(text: str) -> str:
    """Removes bracketed remarks, nested ones too."""
    kept = []
    depth = 0
    for character in text:
        if character == "(":
            depth += 1
        elif character == ")":
            depth = max(0, depth - 1)
        elif depth == 0:
            kept.append(character)
    return "".join(kept)


def enclosed_part(text: str) -> tuple[str, bool]:
    """Returns the text up to the bracket that closes around its start, and whether there is such a bracket."""
    depth = 0
    for position, character in enumerate(text):
        if character == "(":
            depth += 1
        elif character == ")":
            depth -= 1
            if depth < 0:
                return text[:position], True
    return text, False


def variants_in_list(listed: str) -> list[str]:
    """Returns the variants of a list like `errors hang, slow (x times as long), + one_zone`."""
    variants = []
    for piece in re.split(r"[,;+]", without_brackets(listed)):
        words = piece.split()
        if not words or words[0] in EXPLAINING_WORDS:
            continue
        variants += [word for word in words if VARIANT.match(word)]
    return variants


def variants_of(description: str) -> tuple[str, ...]:
    """Returns every variant that a kind's description names after `how:` or as `how WORD:`."""
    variants: list[str] = []
    for match in re.finditer(r"\bhow: ", description):
        listed, is_enclosed = enclosed_part(description[match.end():])
        if not is_enclosed:
            listed = re.split(r";(?![^(]*\))", listed)[0]
        variants += variants_in_list(listed)
    variants += re.findall(r"\bhow ([a-z_]+):", description)
    return tuple(dict.fromkeys(variants))


def defaults_of(description: str) -> dict[str, float | None]:
    """Returns the fields that a description names, each with its default."""
    defaults: dict[str, float | None] = {}
    for name in FIELD_NAMES:
        match = re.search(rf"(?<![\w']){name}\b(?! x\b)(?: s| ms)?(?: \(([\d.]+)\))?", description)
        if match:
            defaults[name] = float(match.group(1)) if match.group(1) else None
    return defaults


def words_after(phrase: str, text: str) -> tuple[str, ...]:
    """Returns the words listed between a phrase and the end of its sentence."""
    match = re.search(re.escape(phrase) + r"([^.]*)\.", text)
    if not match:
        return ()
    words = re.split(r",| or | and\b", match.group(1))
    return tuple(word.strip() for word in words if VARIANT.match(word.strip()))


def read_general(text: str, parsed: KindsText) -> None:
    """Reads the sentences that hold for groups of kinds."""
    plain = without_brackets(text)
    for kind, word in re.findall(r"for ([a-z_]+), ([a-z]+)", plain):
        parsed.additions_by_kind[kind] = (word,)
        plain = plain.replace(f"for {kind}, {word}", "")
    parsed.server_variants = words_after("For servers, 'how' may also hold ", plain)
    parsed.machine_targets = words_after("For machines, 'how' may also hold ", plain)
    parsed.machine_additions = words_after("After these may stand ", plain)
    parsed.cut_variants = words_after("unless 'how' holds ", plain)


def read_closing(line: str, parsed: KindsText) -> None:
    """Reads the line that tells which faults may close a day."""
    match = CLOSING_LINE.search(line)
    if match:
        parsed.closing_kinds = tuple(kind.strip() for kind in match.group(1).split("|"))
        parsed.closing_variants = tuple(re.findall(r"\bhow ([a-z_]+):", line))


def read_kind(name: str, description: str, expected_on_site: bool, before: TroubleKind | None) -> TroubleKind:
    """Reads the line of one kind; `before` is the kind of the line before."""
    defaults = defaults_of(description)
    variants = variants_of(description)
    if before and description.startswith(SAME_AS_BEFORE):
        defaults = {**before.defaults, **defaults}
        variants = before.variants + variants
    return TroubleKind(name, description, defaults, variants, expected_on_site)


def parse_kinds(text: str) -> KindsText:
    """Parses the whole text."""
    parsed = KindsText()
    general = []
    expected_on_site = True
    kind_before: TroubleKind | None = None
    for line in text.splitlines():
        line = line.strip()
        if line == ALSO_HEADING:
            expected_on_site = False
            continue
        if line.startswith("closing = "):
            read_closing(line, parsed)
            continue
        match = KIND_LINE.match(line)
        if match:
            name, description = match.groups()
            kind_before = read_kind(name, description, expected_on_site, kind_before)
            parsed.kinds[name] = kind_before
        else:
            general.append(line)
    read_general(" ".join(general), parsed)
    return parsed
