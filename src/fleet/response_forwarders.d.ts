import type { HeadOptions } from "../sys/framed_response.ts";
import type { BackendResponse } from "./backend_client.ts";
import type { CallerResponse } from "./caller_response.ts";
/** Result of forwarding one response. */
export type ForwardResult =
  | {
    readonly kind: "done";
  }
  /** The response ended prematurely, or skipped or repeated an event. */
  | {
    readonly kind: "broken";
    readonly reason: string;
  };
/**
 * Forwards the responses to one request to its caller. There are several if an
 * attempt fails and the request is retried.
 */
export declare abstract class ResponseForwarder {
  #private;
  protected readonly caller: CallerResponse;
  constructor(caller: CallerResponse);
  /**
   * Number of the event after which the next server should resume; undefined to
   * start from the beginning.
   */
  abstract get resumeAfter(): number | undefined;
  /** Whether another server's response could still be forwarded. */
  abstract get canContinue(): boolean;
  /**
   * Forwards a response until it ends or `signal` is aborted. Errors are
   * returned as a "broken" result. `isSenderThere` tells whether the sender of the
   * response still is, and is asked if the response ended with its connection.
   */
  forward(
    response: BackendResponse,
    signal: AbortSignal,
    isSenderThere?: () => Promise<boolean>,
  ): Promise<ForwardResult>;
  protected abstract forwardBody(
    response: BackendResponse,
  ): Promise<ForwardResult>;
  /**
   * Whether all of a response has arrived, as far as it can be known: one that
   * ends with its connection breaks off if its sender ended too.
   */
  protected isWhole(response: BackendResponse): Promise<boolean>;
  /** Sends the head of a response without the headers in `omitted`. */
  protected sendHead(
    response: BackendResponse,
    options?: HeadOptions & {
      readonly omitted?: ReadonlySet<string>;
    },
  ): void;
}
/** Forwards each chunk as it arrives. */
export declare class ChunkForwarder extends ResponseForwarder {
  get resumeAfter(): number | undefined;
  get canContinue(): boolean;
  protected forwardBody(response: BackendResponse): Promise<ForwardResult>;
}
/** Forwards the chunks of a stream of events that no other server continues. */
export declare class StreamForwarder extends ChunkForwarder {
  #private;
  constructor(caller: CallerResponse, resumeAfter: number | undefined);
  get resumeAfter(): number | undefined;
  protected forwardBody(response: BackendResponse): Promise<ForwardResult>;
}
/**
 * Buffers a response until it is complete, unless it exceeds
 * {@linkcode MAX_BUFFERED_BYTES}. Until then, another server can be tried.
 */
export declare class BufferedForwarder extends ResponseForwarder {
  #private;
  get resumeAfter(): undefined;
  get canContinue(): boolean;
  protected forwardBody(response: BackendResponse): Promise<ForwardResult>;
}
/**
 * Forwards only complete events, so that another server can continue after the
 * last one. The status and headers are those of the first server's response.
 */
export declare class EventForwarder extends ResponseForwarder {
  #private;
  /** `onEvents` is called before events of a response are sent to the caller. */
  constructor(
    caller: CallerResponse,
    resumeAfter: number | undefined,
    onEvents?: () => void,
  );
  get resumeAfter(): number | undefined;
  /**
   * Whether another server can continue the response: before the status and
   * headers are sent, or if events are numbered.
   */
  get canContinue(): boolean;
  protected forwardBody(response: BackendResponse): Promise<ForwardResult>;
}
