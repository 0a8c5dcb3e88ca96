/** Nested calls: calls that a running request makes to other services. */
package io.mustardusher.nested;
