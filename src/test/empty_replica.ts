/** Parts of a replica that has no state and no other members. */
import { ReplicaTransport, StateMachine } from "../state/mod.ts";

export class EmptyStateMachine extends StateMachine {
  override apply(): Uint8Array {
    return new Uint8Array();
  }

  override *capture(): Iterable<Uint8Array> {}

  override restore(): void {}
}

export class NullTransport extends ReplicaTransport {
  override send(): void {}
}
