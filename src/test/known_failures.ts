/**
 * Tests that are known to fail for a real fault, or failed once and are not
 * traced: KNOWN-RED.txt lists them, and a run passes over just these.
 */

/** Titles of the tests that a list names. */
export function parseKnownFailures(text: string): string[] {
  return text.split("\n").filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim());
}

/** Failures that the list does not name. */
export function getUnlisted(
  failures: readonly string[],
  text: string,
): string[] {
  const known = new Set(parseKnownFailures(text));
  return failures.filter((title) => !known.has(title));
}
