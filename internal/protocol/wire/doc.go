// Package wire is the code that the FlatBuffers compiler generates from mesh.fbs, for frames
// between controllers.
package wire
