/** The bench's report: a table for people and a plot as SVG. */
import { Mode } from "./scenario_run.js";
const COLUMNS = [
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
export function formatHeading() {
    return formatCells(COLUMNS.map(([name]) => name));
}
/** One mode as a line of the table. */
export function formatResult(result) {
    const line = formatCells(COLUMNS.map(([, get]) => get(result)));
    return [line, ...result.failures.map((text) => `  broken: ${text}`)]
        .join("\n");
}
const CELL_WIDTH = 13;
function formatCells(cells) {
    return cells.map((cell) => cell.padStart(CELL_WIDTH)).join("");
}
const WIDTH = 720;
const HEIGHT = 360;
const MARGIN = 60;
const COLORS = ["#1b6ca8", "#c0392b"];
/** Tail of the first token against batch throughput, a dot for each mode. */
export function createPlot(name, results) {
    const mostTokens = Math.max(1, ...results.map((one) => one.batchTokensPerS));
    const mostMs = Math.max(1, ...results.map((one) => one.firstTokenMs.p99));
    const dots = results.map((one) => {
        const share = one.batchTokensPerS / mostTokens;
        const x = MARGIN + share * (WIDTH - 2 * MARGIN);
        const tail = one.firstTokenMs.p99 / mostMs;
        const y = HEIGHT - MARGIN - tail * (HEIGHT - 2 * MARGIN);
        const isOwn = one.mode === Mode.latency || one.mode === Mode.throughput;
        return `<circle cx="${x.toFixed(1)}" cy="${y.toFixed(1)}" r="5" ` +
            `fill="${COLORS[isOwn ? 0 : 1]}"/>` +
            `<text x="${(x + 8).toFixed(1)}" y="${(y - 6).toFixed(1)}">` +
            `${one.mode}</text>`;
    });
    const axis = `M${MARGIN},${MARGIN}V${HEIGHT - MARGIN}H${WIDTH - MARGIN}`;
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
            `height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
        `<path d="${axis}" fill="none" stroke="#444"/>`,
        `<text x="${MARGIN}" y="24" font-size="15">${name}</text>`,
        `<text x="${MARGIN}" y="${MARGIN - 8}">first token p99, up to ` +
            `${mostMs.toFixed(0)} ms</text>`,
        `<text x="${WIDTH - MARGIN}" y="${HEIGHT - 24}" text-anchor="end">` +
            `batch tokens a second, up to ${mostTokens.toFixed(0)}</text>`,
        ...dots,
        "</svg>",
        "",
    ].join("\n");
}
//# sourceMappingURL=report.js.map