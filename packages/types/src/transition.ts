/**
The common form of all pure cores: `step(state, event)` returns the next state and the effects that adapters execute.
Time, randomness and messages are passed in as events.
*/

/** The result of one step of a pure core. */
export type Transition<State, Effect> = {readonly state: State; readonly effects: readonly Effect[]};
