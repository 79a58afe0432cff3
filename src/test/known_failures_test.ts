/** Tests which failures a test run ignores. */
import { expect } from "chai";
import { getUnlisted, parseKnownFailures } from "./known_failures.ts";

const LIST = `
test: pool loses a place
command: npm test
seen: once

test: pool waits
`;

describe("known failures", () => {
  it("ignores listed tests by their full titles, and no others", () => {
    expect(parseKnownFailures(LIST)).deep.equal([
      "pool loses a place",
      "pool waits",
    ]);
    expect(getUnlisted(["pool waits"], LIST)).deep.equal([]);
    expect(getUnlisted(["pool waits", "pool waits longer", "waits"], LIST))
      .deep.equal(["pool waits longer", "waits"]);
    expect(getUnlisted(["any"], "No test is known to fail.\n"))
      .deep.equal(["any"]);
  });
});
