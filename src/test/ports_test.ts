/** Ports for hosts whose addresses must be known before they start. */
import { expect } from "chai";
import { execFile } from "node:child_process";
import { promisify } from "node:util";
import { findFreePorts } from "../sys/ports.ts";
import { range } from "./fleet_helpers.ts";

const PORTS_MODULE = new URL("../sys/ports.js", import.meta.url).href;

/** First port that systems use for port 0 and for outgoing connections. */
const FIRST_EPHEMERAL_PORT = 32_768;

async function findInOtherProcess(): Promise<number[]> {
  const script = `import { findFreePorts } from "${PORTS_MODULE}";
    console.log(JSON.stringify(await findFreePorts(100)));`;
  const { stdout } = await promisify(execFile)(
    process.execPath,
    ["--input-type=module", "--eval", script],
  );
  return JSON.parse(stdout);
}

describe("free ports", () => {
  // Guards against EADDRINUSE: a port that was free when it was looked for had
  // been taken by another process or connection before its host opened it.
  it("returns no port twice, and none that the system hands out", async () => {
    const ports = (await Promise.all(range(40).map(() => findFreePorts(8))))
      .flat();
    expect(new Set(ports).size).equal(320);
    expect(Math.max(...ports)).below(FIRST_EPHEMERAL_PORT);
  });

  it("returns other ports in each process", async () => {
    const [mine, theirs] = await Promise.all([
      findFreePorts(100),
      findInOtherProcess(),
    ]);
    expect(theirs.filter((port) => mine.includes(port))).deep.equal([]);
  });
});
