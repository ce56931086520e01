/** Example manifests for trials on loopback, generated so that they stay in step with the model. */
package org.lycheetray.standin.example;
