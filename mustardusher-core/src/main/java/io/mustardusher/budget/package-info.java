/** Budgets that bound what the system spends on probes, retries and hedges. */
package io.mustardusher.budget;
