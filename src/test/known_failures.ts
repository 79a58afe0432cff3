/**
 * Reads KNOWN-RED.txt: the tests that fail because of a known fault, or that
 * failed once for a cause not yet found. Only failures of these tests are
 * ignored in the result of a test run.
 */

/** Returns the titles on the `test: ` lines of a list. */
export function parseKnownFailures(text: string): string[] {
  return text.split("\n").filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim());
}

/** Returns the titles of failed tests that are not on the list. */
export function getUnlisted(
  failures: readonly string[],
  text: string,
): string[] {
  const known = new Set(parseKnownFailures(text));
  return failures.filter((title) => !known.has(title));
}
