/** Type declarations of the parts of js-csp that the project uses. */
declare module "js-csp" {
  export interface Channel<T> {
    close(): void;
    isClosed(): boolean;
    readonly elementType?: T;
  }
  export interface Buffer {
    readonly kind?: string;
  }
  export interface AltsResult {
    readonly channel: Channel<unknown>;
    readonly value: unknown;
  }
  export interface Instruction {
    readonly instruction?: string;
  }
  /**
   * The package is CommonJS, so its functions are members of the default
   * export.
   */
  const csp: {
    readonly CLOSED: null;
    readonly buffers: {
      fixed(size: number): Buffer;
      dropping(size: number): Buffer;
      sliding(size: number): Buffer;
    };
    chan<T>(buffer?: Buffer | number): Channel<T>;
    go(
      routine: () => Generator<unknown, unknown, unknown>,
    ): Channel<unknown>;
    take(channel: Channel<unknown>): Instruction;
    put<T>(channel: Channel<T>, value: T): Instruction;
    alts(
      channels: readonly Channel<unknown>[],
      options?: { priority?: boolean },
    ): Instruction;
    offer<T>(channel: Channel<T>, value: T): boolean;
  };
  export default csp;
}
