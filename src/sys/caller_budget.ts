/**
 * The budget of what a process holds on behalf of callers: bytes and connections.
 * Bytes are acquired before they are read and released when the request has ended.
 * It decides without I/O; docs/design/callers.md gives the reasons.
 */

/** Part of a process's memory that callers' bytes may take. */
const MEMORY_SHARE = 0.15;

/**
 * Smallest total, in bytes: one body of 4 MB and its decoded forms must fit into
 * the part of one connection.
 */
const MIN_TOTAL_BYTES = 32 << 20;

/**
 * Bytes up to which a connection counts as ordinary. It may use all of the total,
 * of which others leave a part. Callers' bodies are 600 to 1,500 bytes.
 */
export const ORDINARY_BYTES = 64 << 10;

/** Parts of the total for what is beyond {@linkcode ORDINARY_BYTES}. */
const LARGE_SHARE = 7 / 8;
const ADDRESS_SHARE = 3 / 4;
const CONNECTION_SHARE = 1 / 2;

/** Descriptors that are kept for files and for the process's own ports. */
const RESERVED_FILES = 200;

/** Part of the other descriptors for callers; the rest reaches servers and hosts. */
const CALLER_FILES_SHARE = 0.6;

/** Why a request or a connection is refused. */
export const BudgetCause = {
  memory: "memory",
  addressMemory: "address_memory",
  connectionMemory: "connection_memory",
  connections: "connections",
  addressConnections: "address_connections",
} as const;

/** One of {@linkcode BudgetCause}. */
export type BudgetCause = typeof BudgetCause[keyof typeof BudgetCause];

/** Limits of a budget. */
export interface BudgetLimits {
  readonly totalBytes: number;
  /** Infinity for no limit. */
  readonly maxConnections: number;
}

/**
 * Derives limits from what a host gives its process. `maxFiles` 0 sets no limit of
 * connections. `largestBodyBytes` must fit into the part of one connection twice.
 */
export function deriveBudgetLimits(options: {
  processBytes: number;
  maxFiles: number;
  largestBodyBytes?: number;
}): BudgetLimits {
  const { processBytes, maxFiles, largestBodyBytes = 0 } = options;
  const callerFiles = (maxFiles - RESERVED_FILES) * CALLER_FILES_SHARE;
  return {
    totalBytes: Math.max(
      MIN_TOTAL_BYTES,
      Math.floor(processBytes * MEMORY_SHARE),
      largestBodyBytes * 2 / CONNECTION_SHARE,
    ),
    maxConnections: maxFiles > 0
      ? Math.max(1, Math.floor(callerFiles))
      : Infinity,
  };
}

/** What the connections of one address hold together. */
interface AddressUse {
  bytes: number;
  connections: number;
}

/** The budget of one process. */
export class CallerBudget {
  readonly limits: BudgetLimits;
  readonly #addresses = new Map<string, AddressUse>();
  readonly #waiting = new Set<() => void>();
  #bytes = 0;
  #connections = 0;

  constructor(limits: BudgetLimits) {
    this.limits = limits;
  }

  /** Bytes that are held now. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Bytes that one connection can hold at most. */
  get maxConnectionBytes(): number {
    return Math.floor(this.limits.totalBytes * CONNECTION_SHARE);
  }

  /** Connections that are open now. */
  get connections(): number {
    return this.#connections;
  }

  /** Takes a connection, or returns why it is refused. */
  openConnection(address: string): ConnectionBudget | BudgetCause {
    const { maxConnections } = this.limits;
    const use = this.#addresses.get(address) ?? { bytes: 0, connections: 0 };
    if (this.#connections >= maxConnections) return BudgetCause.connections;
    if (use.connections >= Math.max(1, maxConnections * ADDRESS_SHARE)) {
      return BudgetCause.addressConnections;
    }
    this.#connections += 1;
    use.connections += 1;
    this.#addresses.set(address, use);
    return new ConnectionBudget({
      findCause: (held, added) => this.#tryFindCause(use, held, added),
      add: (bytes) => {
        this.#bytes += bytes;
        use.bytes += bytes;
        if (bytes < 0) this.#wake();
      },
      close: () => {
        this.#connections -= 1;
        use.connections -= 1;
        if (use.connections === 0) this.#addresses.delete(address);
      },
    });
  }

  /**
   * Calls `action` after each release until the returned function is called. The
   * one that has waited longest is called first.
   */
  whenReleased(action: () => void): () => void {
    this.#waiting.add(action);
    return () => this.#waiting.delete(action);
  }

  #wake(): void {
    [...this.#waiting].forEach((action) => action());
  }

  #tryFindCause(
    use: AddressUse,
    held: number,
    added: number,
  ): BudgetCause | undefined {
    const { totalBytes } = this.limits;
    const isOrdinary = held + added <= ORDINARY_BYTES;
    const total = isOrdinary ? totalBytes : totalBytes * LARGE_SHARE;
    if (this.#bytes + added > total) return BudgetCause.memory;
    if (isOrdinary) return undefined;
    if (held + added > this.maxConnectionBytes) {
      return BudgetCause.connectionMemory;
    }
    return use.bytes + added > totalBytes * ADDRESS_SHARE
      ? BudgetCause.addressMemory
      : undefined;
  }
}

/** What one connection holds. */
export class ConnectionBudget {
  readonly #owner: {
    findCause(held: number, added: number): BudgetCause | undefined;
    add(bytes: number): void;
    close(): void;
  };
  #held = 0;
  #isClosed = false;

  constructor(owner: {
    findCause(held: number, added: number): BudgetCause | undefined;
    add(bytes: number): void;
    close(): void;
  }) {
    this.#owner = owner;
  }

  /** Bytes that the connection holds now. */
  get bytes(): number {
    return this.#held;
  }

  /** Acquires bytes, or returns why they are refused. */
  acquire(bytes: number): BudgetCause | undefined {
    const cause = this.#owner.findCause(this.#held, bytes);
    if (cause === undefined) this.charge(bytes);
    return cause;
  }

  /** Counts bytes that are held already, whether they fit or not. */
  charge(bytes: number): void {
    if (this.#isClosed) return;
    this.#held += bytes;
    this.#owner.add(bytes);
  }

  release(bytes: number): void {
    this.charge(-Math.min(bytes, this.#held));
  }

  /** Releases all that the connection holds. */
  close(): void {
    if (this.#isClosed) return;
    this.#owner.close();
    this.release(this.#held);
    this.#isClosed = true;
  }
}
