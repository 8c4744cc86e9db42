"""The result of a benchmark: a table, and bounds that its figures must meet."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Bound:
    """A figure and its limit, which is a maximum, or a minimum if ``is_minimum``."""

    name: str
    figure: float
    limit: float
    is_minimum: bool = False

    @property
    def met(self) -> bool:
        """Whether the figure is within the limit or equal to it."""
        if self.is_minimum:
            return self.figure >= self.limit
        return self.figure <= self.limit

    def __str__(self) -> str:
        relation = ">=" if self.is_minimum else "<="
        return f"{self.name}: {self.figure:.6g} (aim {relation} {self.limit:.6g})"


@dataclass(slots=True)
class Result:
    """The title, table and bounds of one benchmark; a row has one cell per column."""

    title: str
    columns: list[str]
    rows: list[list[Any]] = field(default_factory=list)
    bounds: list[Bound] = field(default_factory=list)

    def as_json(self) -> dict[str, Any]:
        """Return the result as values that JSON can represent."""
        return {
            "title": self.title,
            "columns": self.columns,
            "rows": self.rows,
            "bounds": [
                {
                    "name": bound.name,
                    "figure": bound.figure,
                    "limit": bound.limit,
                    "least": bound.is_minimum,
                    "met": bound.met,
                }
                for bound in self.bounds
            ],
        }
