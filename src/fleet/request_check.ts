/**
 * Decides whether a stored request can be sent at all. A request that Node.js
 * refuses would otherwise look like a failure of each server that is tried.
 */
import type { BackendRequest } from "./backend_client.ts";

/** Characters of a header's name (RFC 9110, section 5.6.2). */
const HEADER_NAME_PATTERN = /^[!#$%&'*+.^_`|~\w-]+$/;

/** Characters of a header's value that Node.js sends. */
const HEADER_VALUE_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Characters of a request target that Node.js sends. */
const TARGET_PATTERN = /^[\x21-\xff]+$/;

/** Returns why a request cannot be sent to any server; undefined if it can. */
export function tryFindRequestError(
  { target, headers }: Pick<BackendRequest, "target" | "headers">,
): string | undefined {
  if (!TARGET_PATTERN.test(target)) return `path "${target}" cannot be sent`;
  const invalid = headers.findIndex((text, index) =>
    !(index % 2 === 0 ? HEADER_NAME_PATTERN : HEADER_VALUE_PATTERN).test(text)
  );
  if (invalid < 0) return undefined;
  const name = headers[invalid - invalid % 2] ?? "";
  return `header "${name}" cannot be sent`;
}
