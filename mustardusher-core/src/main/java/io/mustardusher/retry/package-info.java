/** Whether a call that was not answered may be sent again. */
package io.mustardusher.retry;
