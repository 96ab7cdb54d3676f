/** Creates the fleet's certificate authority and the certificates of VMs and operators. */
export * from './key-authority.js';
