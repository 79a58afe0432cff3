/**
 * Sizes of the pages of results that callers read at the same time. A page is held by
 * the leader of the store group until it is sent, and here until its caller has read it.
 * With many open reads, as of callers that read nothing, each gets a smaller page; a
 * caller goes on at the position where a page ends.
 */

/** Maximum size of a page, in bytes: half of the callers' limit. */
export const MAX_PAGE_BYTES = 512 * 1024;

/** Smallest maximum: results of a usual job. */
export const MIN_PAGE_BYTES = 16 * 1024;

/** Bytes that all open reads share. */
const OPEN_PAGES_BYTES = 4 << 20;

/** Counts the open reads of one process. */
export class PageReads {
  #open = 0;

  /** Opens a read; returns the maximum size of its page, in bytes. */
  open(): number {
    this.#open += 1;
    const share = Math.floor(OPEN_PAGES_BYTES / this.#open);
    return Math.min(MAX_PAGE_BYTES, Math.max(MIN_PAGE_BYTES, share));
  }

  close(): void {
    this.#open -= 1;
  }
}
