/** Which failure domains an operator has drained: the replicated register, the orders that change it, and the exclusion of targets. */
export * from './domain-register.js';
export * from './drained-domains.js';
export * from './read-domain-messages.js';
