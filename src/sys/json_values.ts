/**
 * Counts the values of a JSON text without parsing it. Parsed values take many
 * times their bytes in memory.
 */

const QUOTE = 0x22;
const BACKSLASH = 0x5c;

/** 1 for each byte that begins a value or separates two. */
const VALUE_COUNTS = Uint8Array.from(
  { length: 256 },
  (_, byte) => ",[{".includes(String.fromCharCode(byte)) ? 1 : 0,
);

/**
 * Returns the number of separators outside of texts, which bounds the number of
 * values; stops above `limit`.
 */
export function countJsonValues(text: Uint8Array, limit = Infinity): number {
  if (text.length <= limit && limit !== Infinity) return 0;
  let count = 0;
  let isText = false;
  for (let index = 0; index < text.length && count <= limit; index += 1) {
    const byte = text[index] ?? 0;
    if (byte === QUOTE) isText = !isText;
    else if (!isText) count += VALUE_COUNTS[byte] ?? 0;
    else if (byte === BACKSLASH) index += 1;
  }
  return count;
}
