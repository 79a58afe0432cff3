/** The state that a replicated log builds. */
/**
 * Deterministic state of one group. Equal commands in equal order give equal
 * state and equal replies on every replica.
 */
export class StateMachine {
}
//# sourceMappingURL=state_machine.js.map