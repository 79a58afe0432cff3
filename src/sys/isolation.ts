/**
 * Isolates the handlers of messages and requests from the connection or socket
 * that calls them, whose state an exception would leave half changed.
 */

/**
 * Returns a handler that does not throw. An error is reported at process level
 * and passed to `onError` with the arguments of the call.
 */
export function isolate<A extends unknown[]>(
  handler: (...args: A) => void,
  onError: (...args: A) => void = () => {},
): (...args: A) => void {
  return (...args) => {
    try {
      handler(...args);
    } catch (error) {
      Promise.reject(error);
      onError(...args);
    }
  };
}
