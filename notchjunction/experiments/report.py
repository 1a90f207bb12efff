"""What an experiment's runs came to: tables with the spread over seeds and paired differences, and charts."""

from __future__ import annotations

import csv
import io
from collections.abc import Mapping, Sequence
from pathlib import Path
from statistics import mean
from typing import Any

COLUMNS = (
    "in_time",
    "tries_a_job",
    "dispatches_a_job",
    "retry_share",
    "probes_a_dispatch",
    "p50",
    "p99",
    "breaches",
)
HEADS = (
    "scenario",
    "variant",
    "runs",
    "in time",
    "against the module",
    "tries a job",
    "dispatches a job",
    "p99 s",
    "breaches",
)
Result = Mapping[str, Any]
AGAINST = "module"  # the variant that the others are compared with, seed by seed


def table(results: Sequence[Result]) -> str:
    """One row a run, as CSV."""
    out = io.StringIO()
    rows = csv.writer(out, lineterminator="\n")
    rows.writerow(("scenario", "variant", "seed", "revision", "died", *COLUMNS))
    for result in _in_order(results):
        figures = [_text(result.get(name)) for name in COLUMNS]
        head = [
            result["scenario"],
            result["variant"],
            result["seed"],
            result["revision"],
            result["died"] or "",
        ]
        rows.writerow([*head, *figures])
    return out.getvalue()


def summary(name: str, results: Sequence[Result]) -> str:
    """One row a scenario and variant, as Markdown."""
    lines = [
        f"# {name}",
        "",
        "Servers are emulated. In time: the share of first tries' revenue that was answered within contract",
        "time (late answers by their late share): mean, least to most over seeds. Against the module: the",
        "differences seed by seed, alike.",
        "",
        "| " + " | ".join(HEADS) + " |",
        "| " + " | ".join("---" for _ in HEADS) + " |",
    ]
    by = _grouped(results)
    for (scenario, variant), rows in by.items():
        sound = [row for row in rows if not row["died"]]
        died = len(rows) - len(sound)
        runs = f"{len(rows)}" + (f", {died} died" if died else "")
        if not sound:
            lines.append(f"| {scenario} | {variant} | {runs} | | | | | | |")
            continue
        module = {row["seed"]: row for row in by.get((scenario, AGAINST), ()) if not row["died"]}
        paired = [row["in_time"] - module[row["seed"]]["in_time"] for row in sound if row["seed"] in module]
        cells = (
            scenario,
            variant,
            runs,
            _spread([row["in_time"] for row in sound]),
            "" if variant == AGAINST or not paired else _spread(paired, sign="+"),
            f"{mean(row['tries_a_job'] for row in sound):.2f}",
            f"{mean(row['dispatches_a_job'] for row in sound):.2f}",
            f"{mean(row['p99'] or 0.0 for row in sound):.2f}",
            str(sum(row["breaches"] for row in sound)),
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def charts(name: str, results: Sequence[Result], folder: Path) -> list[Path]:
    """One chart of all scenarios, and one of the course of each."""
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    by = _grouped([row for row in results if not row["died"]])
    scenarios = list(dict.fromkeys(scenario for scenario, _ in by))
    variants = list(dict.fromkeys(variant for _, variant in by))
    made = []
    figure, axes = pyplot.subplots(figsize=(1.5 + 1.6 * len(scenarios), 4), layout="constrained")
    width = 0.8 / max(1, len(variants))
    for i, variant in enumerate(variants):
        for j, scenario in enumerate(scenarios):
            values = [row["in_time"] for row in by.get((scenario, variant), ())]
            if values:
                middle = mean(values)
                spread = [[middle - min(values)], [max(values) - middle]]
                label = variant if j == 0 else None
                axes.bar(j + i * width, middle, width, yerr=spread, label=label, color=f"C{i}", capsize=2)
    axes.set_xticks([j + 0.4 - width / 2 for j in range(len(scenarios))], scenarios, rotation=15)
    axes.set_ylabel("revenue answered in time")
    axes.set_title(name)
    axes.legend(fontsize="small")
    made.append(folder / "in-time.png")
    figure.savefig(made[-1], dpi=90)
    pyplot.close(figure)
    for scenario in scenarios:
        figure, axes = pyplot.subplots(figsize=(7, 3.2), layout="constrained")
        for i, variant in enumerate(variants):
            course: dict[int, list[float]] = {}
            for row in by.get((scenario, variant), ()):
                for at, gain, most in row["course"]:
                    course.setdefault(at, []).append(gain / most if most else 0.0)
            axes.plot(
                list(course), [mean(values) for values in course.values()], label=variant, color=f"C{i}"
            )
        axes.set_xlabel("s")
        axes.set_ylabel("in time")
        axes.set_ylim(0, 1.05)
        axes.set_title(scenario)
        axes.legend(fontsize="small")
        made.append(folder / f"course-{scenario.replace(' ', '-')}.png")
        figure.savefig(made[-1], dpi=90)
        pyplot.close(figure)
    return made


def _in_order(results: Sequence[Result]) -> list[Result]:
    return sorted(results, key=lambda row: (row["scenario"], row["variant"], row["seed"]))


def _grouped(results: Sequence[Result]) -> dict[tuple[str, str], list[Result]]:
    by: dict[tuple[str, str], list[Result]] = {}
    for row in results:
        by.setdefault((row["scenario"], row["variant"]), []).append(row)
    return by


def _spread(values: Sequence[float], sign: str = "") -> str:
    return f"{mean(values):{sign}.3f} ({min(values):{sign}.3f} to {max(values):{sign}.3f})"


def _text(value: object) -> str:
    return f"{value:.6g}" if isinstance(value, float) else "" if value is None else str(value)
