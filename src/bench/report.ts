/** The bench's report: a table for people and a plot as SVG. */
import { Mode, type ModeResult } from "./scenario_run.ts";

const COLUMNS: readonly [string, (result: ModeResult) => string][] = [
  ["mode", (one) => one.mode],
  ["sent", (one) => String(one.sent)],
  ["answered", (one) => String(one.answered)],
  ["refused", (one) => String(one.refused)],
  ["broken", (one) => String(one.broken)],
  ["first p50 ms", (one) => one.firstTokenMs.p50.toFixed(1)],
  ["p95", (one) => one.firstTokenMs.p95.toFixed(1)],
  ["p99", (one) => one.firstTokenMs.p99.toFixed(1)],
  ["gap p50 ms", (one) => one.tokenGapMs.p50.toFixed(1)],
  ["p95", (one) => one.tokenGapMs.p95.toFixed(1)],
  ["online tok/s", (one) => one.onlineTokensPerS.toFixed(0)],
  ["batch tok/s", (one) => one.batchTokensPerS.toFixed(0)],
  ["idle use", (one) => `${(one.idleUse * 100).toFixed(0)}%`],
  ["entry busy", (one) => `${(one.entryBusy * 100).toFixed(0)}%`],
];

/** The heading of the table. */
export function formatHeading(): string {
  return formatCells(COLUMNS.map(([name]) => name));
}

/** One mode as a line of the table. */
export function formatResult(result: ModeResult): string {
  const row = formatCells(COLUMNS.map(([, get]) => get(result)));
  return [row, ...result.failures.map((text) => `  broken: ${text}`)]
    .join("\n");
}

const CELL_WIDTH = 13;

function formatCells(cells: readonly string[]): string {
  return cells.map((cell) => cell.padStart(CELL_WIDTH)).join("");
}

const WIDTH = 720;
const HEIGHT = 360;
const MARGIN = 60;
const COLORS = ["#1b6ca8", "#c0392b"];

/** Tail of the first token against batch throughput, a dot for each mode. */
export function createPlot(
  scenarioName: string,
  results: readonly ModeResult[],
) {
  const maxTokensPerS = Math.max(
    1,
    ...results.map((one) => one.batchTokensPerS),
  );
  const maxMs = Math.max(1, ...results.map((one) => one.firstTokenMs.p99));
  const dots = results.map((one) => {
    const xFraction = one.batchTokensPerS / maxTokensPerS;
    const x = MARGIN + xFraction * (WIDTH - 2 * MARGIN);
    const yFraction = one.firstTokenMs.p99 / maxMs;
    const y = HEIGHT - MARGIN - yFraction * (HEIGHT - 2 * MARGIN);
    const isFleetPolicy = one.mode === Mode.latency ||
      one.mode === Mode.throughput;
    return `<circle cx="${x.toFixed(1)}" cy="${y.toFixed(1)}" r="5" ` +
      `fill="${COLORS[isFleetPolicy ? 0 : 1]}"/>` +
      `<text x="${(x + 8).toFixed(1)}" y="${(y - 6).toFixed(1)}">` +
      `${one.mode}</text>`;
  });
  const axis = `M${MARGIN},${MARGIN}V${HEIGHT - MARGIN}H${WIDTH - MARGIN}`;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
    `<path d="${axis}" fill="none" stroke="#444"/>`,
    `<text x="${MARGIN}" y="24" font-size="15">${scenarioName}</text>`,
    `<text x="${MARGIN}" y="${MARGIN - 8}">first token p99, up to ` +
    `${maxMs.toFixed(0)} ms</text>`,
    `<text x="${WIDTH - MARGIN}" y="${HEIGHT - 24}" text-anchor="end">` +
    `batch tokens a second, up to ${maxTokensPerS.toFixed(0)}</text>`,
    ...dots,
    "</svg>",
    "",
  ].join("\n");
}
