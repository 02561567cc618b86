import type {Series} from './measurement-schema.js';

const WIDTH = 480;
const HEIGHT = 240;
const MARGIN = 48;

/** Colours of the lines of the first and the second run. */
const COLOURS = ['#1f5fbf', '#c2410c'];

/** Line of a plot. */
export interface PlotLine {
  readonly label: string;
  readonly points: Series['points'];
}

/**
 * Draws lines as an SVG image.
 *
 * @param title - Caption of the image.
 * @param labels - Labels of the axes.
 * @param lines - At most two lines.
 */
export function drawPlot(
  title: string,
  labels: {readonly x: string; readonly y: string},
  lines: readonly PlotLine[],
): string {
  const points = lines.flatMap(line => line.points);
  const maximumX = Math.max(1e-9, ...points.map(([x]) => x));
  const maximumY = Math.max(1e-9, ...points.map(([, y]) => y));
  const toPixels = ([x, y]: [number, number]): [number, number] => [
    MARGIN + (x / maximumX) * (WIDTH - 2 * MARGIN),
    HEIGHT - MARGIN - (y / maximumY) * (HEIGHT - 2 * MARGIN),
  ];
  const lineElements = lines.map(({points: linePoints}, index) =>
    drawLine(
      linePoints.map(toPixels),
      COLOURS[index % COLOURS.length] ?? 'black',
    ),
  );
  const legend = lines.map(({label}, index) =>
    drawLegend(label, index, COLOURS[index % COLOURS.length] ?? 'black'),
  );
  return [
    `<figure><svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img">`,
    drawAxes(labels, maximumX, maximumY),
    ...lineElements,
    ...legend,
    `</svg><figcaption>${escapeHtml(title)}</figcaption></figure>`,
  ].join('\n');
}

/** Escapes text for use in HTML. */
export function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function drawLine(
  points: ReadonlyArray<readonly [number, number]>,
  colour: string,
): string {
  const path = points.map(([x, y]) => `${round(x)},${round(y)}`).join(' ');
  const dots = points.map(
    ([x, y]) =>
      `<circle cx="${round(x)}" cy="${round(y)}" r="2.5" fill="${colour}"/>`,
  );
  const line = `<polyline points="${path}" fill="none" stroke="${colour}"/>`;
  return [line, ...dots].join('');
}

function drawLegend(label: string, index: number, colour: string): string {
  const y = 14 + index * 14;
  return `<text x="${MARGIN}" y="${y}" fill="${colour}">${escapeHtml(label)}</text>`;
}

function drawAxes(
  labels: {readonly x: string; readonly y: string},
  maximumX: number,
  maximumY: number,
): string {
  const bottom = HEIGHT - MARGIN;
  const right = WIDTH - MARGIN;
  return [
    `<path d="M${MARGIN},${MARGIN} V${bottom} H${right}" fill="none" stroke="#888"/>`,
    `<text x="${right}" y="${bottom + 16}" text-anchor="end">${formatNumber(maximumX)}</text>`,
    `<text x="${MARGIN - 4}" y="${MARGIN}" text-anchor="end">${formatNumber(maximumY)}</text>`,
    `<text x="${WIDTH / 2}" y="${HEIGHT - 10}" text-anchor="middle">${escapeHtml(labels.x)}</text>`,
    `<text x="4" y="${MARGIN - 14}">${escapeHtml(labels.y)}</text>`,
  ].join('');
}

/** Formats a number with at most two decimal places, fewer for large ones. */
export function formatNumber(value: number): string {
  const digits = Math.abs(value) >= 100 ? 0 : Math.abs(value) >= 10 ? 1 : 2;
  return value.toFixed(digits);
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
