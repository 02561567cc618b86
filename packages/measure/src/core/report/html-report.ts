import type {Figure, Measurement} from './measurement-schema.js';
import {isWithinBound} from './measurement-schema.js';
import {drawPlot, escapeHtml, formatNumber} from './plot.js';

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 64rem; }
table { border-collapse: collapse; }
th, td { border: 1px solid #ccc; padding: 0.2rem 0.6rem; text-align: left; }
td.number { text-align: right; }
.kept { color: #166534; }
.missed { color: #b91c1c; font-weight: bold; }
figure { display: inline-block; width: 30rem; margin: 0.5rem; }
svg text { font-size: 11px; }
`;

/**
 * Formats one or two runs of an experiment as a self-contained HTML page.
 *
 * @param first - Run, or the earlier one of two.
 * @param second - Later run, if two are compared.
 */
export function formatHtmlReport(
  first: Measurement,
  second?: Measurement,
): string {
  const runs = second === undefined ? [first] : [first, second];
  const title = escapeHtml(`${first.experiment}, ${first.deployment}`);
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>${title}</title><style>${STYLE}</style></head><body>`,
    `<h1>${title}</h1>`,
    ...runs.map(formatRun),
    formatFigures(runs),
    ...formatPlots(runs),
    '</body></html>',
  ].join('\n');
}

function formatRun(run: Measurement): string {
  const details = [
    `<code>${escapeHtml(run.command)}</code>`,
    `started ${escapeHtml(run.startedAt)}`,
    `seed ${run.seed}`,
    `${run.processors} processors, load ${formatNumber(run.machineLoad)}`,
    ...run.notes.map(escapeHtml),
  ];
  return `<ul>${details.map(detail => `<li>${detail}</li>`).join('')}</ul>`;
}

function formatFigures(runs: readonly Measurement[]): string {
  const headings = runs.map(
    (_, index) => `<th>${columnName(index, runs)}</th>`,
  );
  const rows = (runs[0]?.figures ?? []).map(({name}) => formatRow(name, runs));
  return [
    `<table><tr><th>figure</th>${headings.join('')}<th>stated bound</th></tr>`,
    ...rows,
    '</table>',
  ].join('\n');
}

function formatRow(name: string, runs: readonly Measurement[]): string {
  const figures = runs.map(run => run.figures.find(one => one.name === name));
  const cells = figures.map(
    figure => `<td class="number">${formatFigure(figure)}</td>`,
  );
  const bound = figures.find(figure => figure?.bound !== undefined)?.bound;
  const stated =
    bound === undefined ? '' : `${bound.relation} ${formatNumber(bound.value)}`;
  return `<tr><td>${escapeHtml(name)}</td>${cells.join('')}<td>${stated}</td></tr>`;
}

function formatFigure(figure: Figure | undefined): string {
  if (figure === undefined) return '';
  const text = `${formatNumber(figure.value)} ${escapeHtml(figure.unit)}`;
  const isKept = isWithinBound(figure);
  if (isKept === undefined) return text;
  return `<span class="${isKept ? 'kept' : 'missed'}">${text}</span>`;
}

function formatPlots(runs: readonly Measurement[]): string[] {
  return (runs[0]?.series ?? []).map(({name, xLabel, yLabel}) => {
    const lines = runs.flatMap((run, index) =>
      run.series
        .filter(series => series.name === name)
        .map(({points}) => ({label: columnName(index, runs), points})),
    );
    return drawPlot(name, {x: xLabel, y: yLabel}, lines);
  });
}

function columnName(index: number, runs: readonly Measurement[]): string {
  if (runs.length === 1) return 'value';
  return index === 0 ? 'before' : 'after';
}
