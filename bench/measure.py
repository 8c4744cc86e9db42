"""What a measure hands back: a table, and the bounds that its aims set."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Bound:
    """A figure and the limit that the aim sets for it; ``least`` turns it round."""

    name: str
    figure: float
    limit: float
    least: bool = False

    @property
    def met(self) -> bool:
        """Whether the figure keeps to the limit."""
        if self.least:
            return self.figure >= self.limit
        return self.figure <= self.limit

    def __str__(self) -> str:
        relation = ">=" if self.least else "<="
        return f"{self.name}: {self.figure:.6g} (aim {relation} {self.limit:.6g})"


@dataclass(slots=True)
class Result:
    """The outcome of one measure."""

    title: str
    columns: list[str]
    rows: list[list[Any]] = field(default_factory=list)
    bounds: list[Bound] = field(default_factory=list)

    def as_json(self) -> dict[str, Any]:
        """Return the figures in a form that JSON can hold."""
        return {
            "title": self.title,
            "columns": self.columns,
            "rows": self.rows,
            "bounds": [
                {
                    "name": bound.name,
                    "figure": bound.figure,
                    "limit": bound.limit,
                    "least": bound.least,
                    "met": bound.met,
                }
                for bound in self.bounds
            ],
        }
