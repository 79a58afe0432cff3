/** Formats benchmark results as a text table and as an SVG plot. */
import { Mode, type ModeResult } from "./scenario_run.ts";

const COLUMNS: readonly [string, (result: ModeResult) => string][] = [
  ["mode", (result) => result.mode],
  ["sent", (result) => String(result.sent)],
  ["answered", (result) => String(result.answered)],
  ["refused", (result) => String(result.refused)],
  ["broken", (result) => String(result.broken)],
  ["first p50 ms", (result) => result.firstTokenMs.p50.toFixed(1)],
  ["p95", (result) => result.firstTokenMs.p95.toFixed(1)],
  ["p99", (result) => result.firstTokenMs.p99.toFixed(1)],
  ["gap p50 ms", (result) => result.tokenGapMs.p50.toFixed(1)],
  ["p95", (result) => result.tokenGapMs.p95.toFixed(1)],
  ["online tok/s", (result) => result.onlineTokensPerS.toFixed(0)],
  ["batch tok/s", (result) => result.batchTokensPerS.toFixed(0)],
  ["idle use", (result) => `${(result.idleUse * 100).toFixed(0)}%`],
  ["entry busy", (result) => `${(result.entryBusy * 100).toFixed(0)}%`],
];

/** Returns the header row of the table. */
export function formatHeading(): string {
  return formatCells(COLUMNS.map(([name]) => name));
}

/** Returns the row of a mode, followed by its errors. */
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

/**
 * Plots the p99 time to the first token over batch throughput, a dot per mode.
 * Modes that use the fleet's own batch policy have a color of their own.
 */
export function createPlot(
  scenarioName: string,
  results: readonly ModeResult[],
) {
  const maxTokensPerS = Math.max(
    1,
    ...results.map((result) => result.batchTokensPerS),
  );
  const maxMs = Math.max(
    1,
    ...results.map((result) => result.firstTokenMs.p99),
  );
  const dots = results.map((result) => {
    const xFraction = result.batchTokensPerS / maxTokensPerS;
    const x = MARGIN + xFraction * (WIDTH - 2 * MARGIN);
    const yFraction = result.firstTokenMs.p99 / maxMs;
    const y = HEIGHT - MARGIN - yFraction * (HEIGHT - 2 * MARGIN);
    const isFleetPolicy = result.mode === Mode.latency ||
      result.mode === Mode.throughput;
    return `<circle cx="${x.toFixed(1)}" cy="${y.toFixed(1)}" r="5" ` +
      `fill="${COLORS[isFleetPolicy ? 0 : 1]}"/>` +
      `<text x="${(x + 8).toFixed(1)}" y="${(y - 6).toFixed(1)}">` +
      `${result.mode}</text>`;
  });
  const axis = `M${MARGIN},${MARGIN}V${HEIGHT - MARGIN}H${WIDTH - MARGIN}`;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
    `<path d="${axis}" fill="none" stroke="#444"/>`,
    `<text x="${MARGIN}" y="24" font-size="15">${scenarioName}</text>`,
    `<text x="${MARGIN}" y="${MARGIN - 8}">first token p99, maximum ` +
    `${maxMs.toFixed(0)} ms</text>`,
    `<text x="${WIDTH - MARGIN}" y="${HEIGHT - 24}" text-anchor="end">` +
    `batch tokens/s, maximum ${maxTokensPerS.toFixed(0)}</text>`,
    ...dots,
    "</svg>",
    "",
  ].join("\n");
}
