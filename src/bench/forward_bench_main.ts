/**
 * Prints the processor time of a stream on a gateway's path and in a bare forwarder:
 * `node target/src/bench/forward_bench_main.js`.
 */
import { measureForwarding, runForwardPart } from "./forward_bench.ts";

const [part, server] = process.argv.slice(2);
if (part !== undefined && server !== undefined) {
  await runForwardPart(part, server);
} else {
  const { pathMs, bareMs } = await measureForwarding();
  process.stdout.write(
    `path_ms=${pathMs.toFixed(2)} bare_ms=${bareMs.toFixed(2)} ` +
      `ratio=${(pathMs / bareMs).toFixed(2)}\n`,
  );
}
