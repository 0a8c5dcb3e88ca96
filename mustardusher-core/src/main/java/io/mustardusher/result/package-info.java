/** Numbered result codes, the outcomes of calls that they state, and the exception that carries a code. */
package io.mustardusher.result;
