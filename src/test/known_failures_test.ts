/** Which failures a run may pass over. */
import { expect } from "chai";
import { getUnlisted, parseKnownFailures } from "./known_failures.ts";

const LIST = `
test: pool loses a place
command: npm test
seen: once

test: pool waits
`;

describe("known red", () => {
  it("passes over listed tests by their whole titles, and over no others", () => {
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
